import type { IncomingHttpHeaders } from "node:http";

/** A caller's request with its complete body. */
export interface ForwardRequest {
  readonly method: string;
  /** Path and query as received. */
  readonly target: string;
  readonly headers: IncomingHttpHeaders;
  /** Names and values as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Time at which its head arrived, on the monotonic clock in ms. */
  readonly arrivedMs: number;
  /** Aborts when the caller closes the connection. */
  readonly signal: AbortSignal;
  /** Whether another instance, which does not reach its upstreams, has passed it on. */
  readonly relayed?: boolean;
}
