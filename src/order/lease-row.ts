import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Row } from "../table/row.js";
import type { RowKey } from "../table/row-key.js";
import type { TableWrite } from "../table/table-write.js";

const recordSchema = z.object({
  holder: z.string(),
  incarnation: z.number(),
  /** Rises with each holder; orders carry it. */
  fencing: z.number().int().positive(),
  /** Rises with each renewal by the same holder. */
  renewals: z.number().int().nonnegative(),
  durationMs: z.number().positive(),
});

/** What the table holds for the lease of a group. */
export type LeaseRecord = z.output<typeof recordSchema>;

/** A lease row that was read. */
export interface LeaseRow {
  readonly version: number;
  readonly record: LeaseRecord;
}

export function leaseKey(group: string): RowKey {
  return { partition: "lease", sort: group };
}

/** Reads a row; throws `LeaseLost` if another program version wrote something not understood. */
export function leaseRowOf(row: Row): LeaseRow {
  try {
    return { version: row.version, record: recordSchema.parse(JSON.parse(row.value)) };
  } catch (error) {
    const detail = `lease row ${row.key.sort} is not readable`;
    throw ServeError.create(ErrorKind.LeaseLost, detail, { cause: error });
  }
}

/** The put that moves a lease row to its next version. */
export function leasePut(group: string, base: number, record: LeaseRecord): TableWrite {
  return {
    kind: "put",
    key: leaseKey(group),
    version: base + 1,
    value: JSON.stringify(record),
    expect: base === 0 ? { kind: "absent" } : { kind: "version", version: base },
  };
}
