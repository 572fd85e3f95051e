import type { IncomingHttpHeaders } from "node:http";

/** A request of a caller whose body has arrived whole. */
export interface ForwardRequest {
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly headers: IncomingHttpHeaders;
  /** Names and values as sent. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Time at which its head arrived, on the monotonic clock in ms. */
  readonly arrivedMs: number;
  /** Aborts when the caller closes the connection. */
  readonly signal: AbortSignal;
}
