import type { ClaimAnswer } from "./claim-answer.js";
import type { LedgerEntry } from "./ledger-entry.js";

/** The run-once ledger of non-idempotent requests. */
export interface Ledger {
  /**
   * Claims an idempotency key; resolves with `claimed` only after the table confirmed the claim.
   * Throws `IdempotencyKeyReused`, `HolderGone` (may have run), `InProgress`, `TableUnavailable`
   * or `TableUncertain`. After the last two the request must be abandoned; the ledger makes sure
   * that a claim that lands late does not block the caller's next try for good.
   */
  claim(entry: LedgerEntry): Promise<ClaimAnswer>;
}
