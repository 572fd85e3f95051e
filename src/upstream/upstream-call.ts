import type { CallIdentity } from "./call-identity.js";

/** One HTTP call of an upstream. */
export interface UpstreamCall {
  readonly path: string;
  readonly identity: CallIdentity;
  readonly body: unknown;
  /** False if the call must not be sent twice. */
  readonly idempotent: boolean;
  /** Maximum length of the answer. */
  readonly maxBytes: number;
}
