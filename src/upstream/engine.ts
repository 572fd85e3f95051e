import type { GenerateRequest } from "./generate-request.js";
import type { Token } from "./token.js";

/** A model engine. */
export interface Engine {
  /**
   * Streams the tokens after those already received, each once and in order, and returns after
   * the last one. Throws `UpstreamFailed` if the stream breaks before its end, `UpstreamCrashed`
   * if the engine died, `UpstreamRejected` if it refused the request. Aborting `signal` cancels.
   */
  generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<Token>;
  /** Requests that the engine reports as running or waiting; the report lags. */
  load(signal: AbortSignal): Promise<number>;
}
