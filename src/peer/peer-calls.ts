import type { PeerMethod } from "./peer-method.js";

/** Calls to other daemons. */
export interface PeerCalls {
  /**
   * Calls a method of another instance and returns its unchecked result.
   * Throws `PeerUnavailable` if the instance is unknown, unreachable or late, and the instance's
   * own `ServeError` if it answered with one.
   */
  call(instance: string, method: PeerMethod, params: unknown, timeoutMs: number): Promise<unknown>;
}
