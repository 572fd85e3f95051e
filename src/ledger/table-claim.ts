import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { RowKey } from "../table/row-key.js";
import type { Claim } from "./claim.js";
import { type ClaimParts, releaseClaim, untilDone } from "./claim-release.js";
import { type LedgerRecord, ledgerPut } from "./ledger-row.js";
import { LedgerState } from "./ledger-state.js";

/** A table row holds at most 400 KB; the rest is left to the other fields. */
const ANSWER_BYTES = 300_000;

/** A confirmed claim. */
export class TableClaim implements Claim {
  private constructor(
    private readonly parts: ClaimParts,
    private readonly key: RowKey,
    private readonly base: number,
    private readonly record: LedgerRecord,
  ) {}

  /** `base` is the version that the claim was put over, 0 for a missing row. */
  static create(parts: ClaimParts, key: RowKey, base: number, record: LedgerRecord): TableClaim {
    return new TableClaim(parts, key, base, record);
  }

  /** Throws `Internal` for an answer that is too large to be stored; the claim then stays. */
  async finish(answer: string): Promise<void> {
    if (Buffer.byteLength(answer) > ANSWER_BYTES) {
      const detail = `an answer of a non-idempotent request exceeds ${ANSWER_BYTES} bytes`;
      throw ServeError.create(ErrorKind.Internal, detail);
    }
    const { parts, key, base, record } = this;
    const finished = { ...record, state: LedgerState.Finished, answer };
    await untilDone(parts, async () => {
      const write = ledgerPut(key, base + 1, { ...finished, time: parts.timers.wallClock() });
      // Nobody else replaces the claim of a dispatched request, so a rejected condition means that
      // an earlier put of the answer took effect although its response was lost.
      await parts.writeBatcher.write(write);
      return true;
    });
  }

  release(): void {
    const { parts, key, base, record } = this;
    releaseClaim(parts, key, base, record);
  }
}
