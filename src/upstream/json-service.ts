import type { CallIdentity } from "./call-identity.js";

/** An upstream that answers a JSON request with a JSON response. */
export interface JsonService {
  /**
   * Sends `body` once and returns the answer. Throws `UpstreamFailed` if the answer may have been
   * lost, `UpstreamCrashed` if its process ended, `UpstreamRejected` if it refused the request,
   * `ConnectionSilent` if only the connection failed. `undispatched` is set on the error if nothing
   * was written. A call that is not `idempotent` uses a fresh or recently used connection.
   */
  call(
    path: string,
    identity: CallIdentity,
    body: unknown,
    signal: AbortSignal,
    idempotent: boolean,
  ): Promise<unknown>;
}
