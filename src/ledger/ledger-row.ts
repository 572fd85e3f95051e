import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { Outcome } from "../error/outcome.js";
import { ServeError } from "../error/serve-error.js";
import type { Expectation } from "../table/expectation.js";
import type { Row } from "../table/row.js";
import type { RowKey } from "../table/row-key.js";
import type { TableWrite } from "../table/table-write.js";
import type { LedgerEntry } from "./ledger-entry.js";
import { LedgerState } from "./ledger-state.js";

/** Prefix of the partitions that hold ledger rows, one partition for each team. */
export const LEDGER_PARTITION = "ledger#";

/** Schema of the value of a ledger row; fields of other program versions are ignored. */
const recordSchema = z.object({
  state: z.enum(LedgerState),
  request: z.string(),
  contentDigest: z.string(),
  holder: z.string(),
  /** Start time of the holder's process in ms since the epoch. */
  incarnation: z.number(),
  /** Time of the write in ms since the epoch. */
  time: z.number(),
  answer: z.string().optional(),
});

/** What the table holds for an idempotency key. */
export type LedgerRecord = z.output<typeof recordSchema>;

/** A ledger row that was read. */
export interface LedgerRow {
  readonly version: number;
  readonly record: LedgerRecord;
}

/** The row key of an idempotency key. */
export function ledgerKey(entry: Pick<LedgerEntry, "team" | "idempotencyKey">): RowKey {
  return { partition: `${LEDGER_PARTITION}${entry.team}`, sort: entry.idempotencyKey };
}

/** Reads a row; throws `Internal` with outcome may-have-run if its value is not understood. */
export function ledgerRowOf(row: Row): LedgerRow {
  const parsed = recordSchema.safeParse(jsonOf(row.value));
  if (parsed.success) return { version: row.version, record: parsed.data };
  const problem = parsed.error.issues.map((issue) => issue.path.join(".")).join(", ");
  throw ServeError.create(ErrorKind.Internal, `ledger row is not readable: ${problem}`, {
    outcome: Outcome.MayHaveRun,
  });
}

/** The put that moves a row to its next version. */
export function ledgerPut(key: RowKey, base: number, record: LedgerRecord): TableWrite {
  const expect: Expectation = base === 0 ? { kind: "absent" } : { kind: "version", version: base };
  return { kind: "put", key, version: base + 1, value: JSON.stringify(record), expect };
}

function jsonOf(value: string): unknown {
  try {
    return JSON.parse(value);
  } catch {
    return undefined;
  }
}
