import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import type { ClaimAnswer } from "../../src/ledger/claim-answer.js";
import type { Ledger } from "../../src/ledger/ledger.js";
import type { LedgerEntry } from "../../src/ledger/ledger-entry.js";

/** A run-once ledger of one process. */
export class MemoryLedger implements Ledger {
  /** Requests that gave their claim up. */
  readonly released: string[] = [];
  /** Claims wait for this before they are confirmed. */
  confirmed: Promise<void> = Promise.resolve();
  private readonly rows = new Map<string, { readonly entry: LedgerEntry; answer?: string }>();

  async claim(entry: LedgerEntry): Promise<ClaimAnswer> {
    await this.confirmed;
    const key = `${entry.team} ${entry.idempotencyKey}`;
    const row = this.rows.get(key);
    if (row === undefined) {
      this.rows.set(key, { entry });
      return { kind: "claimed", claim: this.claimOf(key, entry) };
    }
    if (row.entry.contentDigest !== entry.contentDigest) {
      throw ServeError.create(ErrorKind.IdempotencyKeyReused, "the key has another payload");
    }
    const { request } = row.entry;
    if (row.answer === undefined) return { kind: "running", request };
    return { kind: "finished", request, answer: row.answer };
  }

  private claimOf(
    key: string,
    entry: LedgerEntry,
  ): Extract<ClaimAnswer, { kind: "claimed" }>["claim"] {
    return {
      finish: (answer) => {
        this.rows.set(key, { entry, answer });
        return Promise.resolve();
      },
      release: () => {
        this.rows.delete(key);
        this.released.push(entry.request);
      },
    };
  }
}
