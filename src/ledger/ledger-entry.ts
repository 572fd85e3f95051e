/** A non-idempotent request as the ledger knows it. */
export interface LedgerEntry {
  readonly team: string;
  readonly idempotencyKey: string;
  readonly contentDigest: string;
  /** Id of the request, which is the id of the attempt that may dispatch. */
  readonly request: string;
}
