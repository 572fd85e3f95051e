import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Row } from "../table/row.js";
import type { RowKey } from "../table/row-key.js";
import { issueText } from "../settings/issue-text.js";

const VERSION_DIGITS = 10;

/** Partition of the head, the changes and the snapshots. */
export const CONFIGURATION_PARTITION = "configuration";

export const headSchema = z.object({
  version: z.number().int().positive(),
  snapshot: z.number().int().positive(),
});

/** The newest accepted version and the newest snapshot. */
export type Head = z.output<typeof headSchema>;

export const changeIdSchema = z.discriminatedUnion("state", [
  z.object({ state: z.literal("accepted"), version: z.number().int().positive() }),
  /** A tombstone: the change was not and will not be accepted under this id. */
  z.object({ state: z.literal("refused") }),
]);

/** What became of a change id. */
export type ChangeIdRecord = z.output<typeof changeIdSchema>;

export const headKey: RowKey = { partition: CONFIGURATION_PARTITION, sort: "head" };

export function changeKey(version: number): RowKey {
  return { partition: CONFIGURATION_PARTITION, sort: `change#${padded(version)}` };
}

export function snapshotKey(version: number): RowKey {
  return { partition: CONFIGURATION_PARTITION, sort: `snapshot#${padded(version)}` };
}

export function changeIdKey(id: string): RowKey {
  return { partition: "change-id", sort: id };
}

/**
 * Reads the value of a row that another program version may have written. Throws
 * `InvalidConfiguration` with the row and the fields that are not understood.
 */
export function valueOf<Value>(schema: z.ZodType<Value>, row: Row): Value {
  const parsed = schema.safeParse(jsonOf(row));
  if (parsed.success) return parsed.data;
  throw unreadable(row, issueText(parsed.error));
}

/** Parses the value of a row; throws `InvalidConfiguration` if it is not JSON. */
export function jsonOf(row: Row): unknown {
  try {
    return JSON.parse(row.value);
  } catch (error) {
    throw unreadable(row, String(error));
  }
}

function unreadable(row: Row, problem: string): ServeError {
  const detail = `row ${row.key.partition}/${row.key.sort} is not readable: ${problem}`;
  return ServeError.create(ErrorKind.InvalidConfiguration, detail);
}

function padded(version: number): string {
  return String(version).padStart(VERSION_DIGITS, "0");
}
