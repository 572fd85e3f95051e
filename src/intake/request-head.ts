import type { IncomingHttpHeaders } from "node:http";

/** A caller's request without its body. */
export interface RequestHead {
  readonly method: string;
  /** Path and query as received. */
  readonly target: string;
  readonly headers: IncomingHttpHeaders;
  /** Names and values as received. */
  readonly rawHeaders: readonly string[];
  /** Time at which it arrived, on the monotonic clock in ms. */
  readonly arrivedMs: number;
  /** Aborts when the caller closes the connection. */
  readonly signal: AbortSignal;
  /** Whether another instance, which does not reach its upstreams, has passed it on. */
  readonly relayed?: boolean;
}

/**
 * Reads the body of a request. Rejects with `BodyTooLarge` if it exceeds `maxBytes`, `Overloaded` if
 * there is no memory for it, `Cancelled` if the caller leaves, or the signal's reason. Its memory
 * counts for the owner, a team's name.
 */
export type BodyRead = (maxBytes: number, signal: AbortSignal, owner: string) => Promise<Buffer>;
