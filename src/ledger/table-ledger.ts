import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Members } from "../peer/members.js";
import type { RowKey } from "../table/row-key.js";
import type { ClaimAnswer } from "./claim-answer.js";
import type { ClaimHolders } from "./claim-holders.js";
import { type ClaimParts, releaseClaim } from "./claim-release.js";
import type { Ledger } from "./ledger.js";
import type { LedgerEntry } from "./ledger-entry.js";
import {
  type LedgerRecord,
  type LedgerRow,
  ledgerKey,
  ledgerPut,
  ledgerRowOf,
} from "./ledger-row.js";
import { LedgerState } from "./ledger-state.js";
import { TableClaim } from "./table-claim.js";

/** Rounds of put and read in one claim before the request is told to try again. */
const CLAIM_ROUNDS = 4;

interface Parts extends ClaimParts {
  readonly members: Members;
  readonly claimHolders: ClaimHolders;
  readonly incarnation: number;
}

/** What a put of a claim led to. */
type PutResult = "committed" | "rejected" | "uncertain";

/**
 * The ledger over table rows. A request costs two writes on its path, the claim and the result,
 * and one paced deletion after the retention.
 */
export class TableLedger implements Ledger {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): TableLedger {
    return new TableLedger(parts);
  }

  async claim(entry: LedgerEntry): Promise<ClaimAnswer> {
    const { tableBreaker, members, incarnation, timers } = this.parts;
    tableBreaker.check();
    const key = ledgerKey(entry);
    const record: LedgerRecord = {
      state: LedgerState.Claimed,
      request: entry.request,
      contentDigest: entry.contentDigest,
      holder: members.self,
      incarnation,
      time: timers.wallClock(),
    };
    let base = 0;
    // Set while a put of this request may still take effect.
    let uncertain = false;
    try {
      for (let round = 0; round < CLAIM_ROUNDS; round += 1) {
        const result = await this.put(key, base, record);
        if (result === "committed") return this.claimed(key, base, record);
        uncertain ||= result === "uncertain";
        const row = await this.read(key);
        if (row?.record.request === entry.request)
          return this.claimed(key, row.version - 1, record);
        // A changed version excludes the uncertain put, which expected the version `base`.
        if ((row?.version ?? 0) !== base) uncertain = false;
        const answer = row === undefined ? undefined : await this.standing(entry, row);
        if (answer !== undefined) {
          if (uncertain) releaseClaim(this.parts, key, base, record);
          return answer;
        }
        if (!uncertain) base = row?.version ?? 0;
      }
      throw ServeError.create(ErrorKind.TableUnavailable, "the claim met too many other writes");
    } catch (error) {
      if (!uncertain) throw error;
      releaseClaim(this.parts, key, base, record);
      throw uncertainty(error);
    }
  }

  /** An uncertain put may be sent again, because its condition admits only one of the two. */
  private async put(key: RowKey, base: number, record: LedgerRecord): Promise<PutResult> {
    try {
      const committed = await this.parts.writeBatcher.write(ledgerPut(key, base, record));
      return committed ? "committed" : "rejected";
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.TableUncertain);
      if (failure.kind !== ErrorKind.TableUncertain) throw failure;
      return "uncertain";
    }
  }

  private async read(key: RowKey): Promise<LedgerRow | undefined> {
    const { table, tableBreaker } = this.parts;
    const row = await tableBreaker.observe(() => table.get(key));
    return row === undefined ? undefined : ledgerRowOf(row);
  }

  private claimed(key: RowKey, base: number, record: LedgerRecord): ClaimAnswer {
    return { kind: "claimed", claim: TableClaim.create(this.parts, key, base, record) };
  }

  /** How a row of another request stands; undefined if this request may claim over it. */
  private async standing(entry: LedgerEntry, row: LedgerRow): Promise<ClaimAnswer | undefined> {
    const { record } = row;
    if (record.contentDigest !== entry.contentDigest) {
      const detail = "the idempotency key was used with another payload";
      throw ServeError.create(ErrorKind.IdempotencyKeyReused, detail);
    }
    switch (record.state) {
      case LedgerState.Released:
        return undefined;
      case LedgerState.Finished:
        return { kind: "finished", request: record.request, answer: record.answer ?? "" };
      case LedgerState.Claimed: {
        if (await this.parts.claimHolders.abandoned(record)) return undefined;
        return { kind: "running", request: record.request };
      }
    }
  }
}

function uncertainty(error: unknown): ServeError {
  const failure = ServeError.from(error, ErrorKind.TableUncertain);
  if (failure.kind !== ErrorKind.TableUnavailable) return failure;
  return ServeError.create(ErrorKind.TableUncertain, failure.message, { cause: failure });
}
