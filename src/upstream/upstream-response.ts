import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";

/** A response whose body is still being received. */
export interface UpstreamResponse {
  readonly statusCode: number;
  readonly headers: Dispatcher.ResponseData["headers"];
  /** Fails if the response breaks off, is aborted, or does not follow the protocol. */
  readonly body: Readable;
}
