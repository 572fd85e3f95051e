import type { ConsolaInstance } from "consola";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { RowKey } from "../table/row-key.js";
import type { Table } from "../table/table.js";
import type { RandomSource } from "../random/random-source.js";
import type { Timers } from "../time/timers.js";
import type { ClaimWrites } from "./claim-writes.js";
import { type LedgerRecord, ledgerPut, ledgerRowOf } from "./ledger-row.js";
import { LedgerState } from "./ledger-state.js";
import type { TableBreaker } from "./table-breaker.js";
import type { WriteBatcher } from "./write-batcher.js";

const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 5_000;
const RETRY_JITTER_SHARE = 0.5;

/** What the background writes of a claim need. */
export interface ClaimParts {
  readonly table: Table;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly log: ConsolaInstance;
  readonly tableBreaker: TableBreaker;
  readonly writeBatcher: Pick<WriteBatcher, "write">;
  readonly claimWrites: ClaimWrites;
}

/** Repeats `step` until it returns true, with growing delays while the table fails. */
export function untilDone(parts: ClaimParts, step: () => Promise<boolean>): Promise<void> {
  return parts.claimWrites.run(() => repeat(parts, step));
}

async function repeat(parts: ClaimParts, step: () => Promise<boolean>): Promise<void> {
  const { timers, random, tableBreaker } = parts;
  for (let delay = FIRST_RETRY_MS; ; delay = Math.min(LONGEST_RETRY_MS, 2 * delay)) {
    try {
      tableBreaker.check();
      if (await step()) return;
    } catch (error) {
      const { kind } = ServeError.from(error, ErrorKind.Internal);
      const passes = kind === ErrorKind.TableUnavailable || kind === ErrorKind.TableUncertain;
      if (!passes) throw error;
    }
    await timers.sleep(delay * (1 + RETRY_JITTER_SHARE * random.fraction()));
  }
}

/**
 * Makes sure in the background that a claim of `record.request` cannot stand: puts a released row
 * over it, or in its place where it has not landed yet. `base` is the version that the claim was
 * put over; a row of another request with another version excludes a late claim by itself.
 */
export function releaseClaim(
  parts: ClaimParts,
  key: RowKey,
  base: number,
  record: LedgerRecord,
): void {
  const released = untilDone(parts, async () => {
    const row = await parts.tableBreaker.observe(() => parts.table.get(key));
    const found = row === undefined ? undefined : ledgerRowOf(row);
    const version = found?.version ?? 0;
    const own = found?.record.request === record.request;
    if (own ? found.record.state !== LedgerState.Claimed : version !== base) return true;
    const time = parts.timers.wallClock();
    return parts.writeBatcher.write(
      ledgerPut(key, version, { ...record, state: LedgerState.Released, time }),
    );
  });
  released.catch((error: unknown) => {
    const { request } = record;
    parts.log.error({ message: "cannot release a claim", request, detail: String(error) });
  });
}
