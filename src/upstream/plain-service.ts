import type { CallIdentity } from "./call-identity.js";

/** An upstream that answers one JSON body with another. */
export interface PlainService {
  /**
   * Sends `body` once and returns the answer. Throws `UpstreamFailed` if the answer may have been
   * lost, `UpstreamCrashed` if the upstream died, `UpstreamRejected` if it refused the request.
   */
  call(path: string, identity: CallIdentity, body: unknown, signal: AbortSignal): Promise<unknown>;
}
