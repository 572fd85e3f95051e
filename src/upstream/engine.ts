import type { GenerateRequest } from "./generate-request.js";
import type { Token } from "./token.js";

/** A server that generates text with a language model. */
export interface Engine {
  /**
   * Streams the tokens after those already received, each once and in order, and returns after
   * the last one. Throws `UpstreamFailed` if the stream breaks before its end, `UpstreamCrashed`
   * if its process ended, `UpstreamRejected` if it refused the request. Aborting `signal` cancels.
   */
  generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<Token>;
  /** Number of requests that the engine reports as running or waiting; the report lags. */
  load(signal: AbortSignal): Promise<number>;
}
