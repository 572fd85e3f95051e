import { z } from "zod";
import type { RowChange } from "./row-feed.js";
import { StoreTable } from "./store-table.js";

/**
 * Age below which rows of another instance are treated like a read of the store. A reader is at
 * most 1.3 s behind, and leaving upstreams must be known within 2 s.
 */
export const MAX_FRESH_AGE_MS = 1_400;

/** Schema of a query for the rows that another instance has cached. */
export const rowQuerySchema = z.object({
  table: z.enum(StoreTable),
  /** Era of the store to which the cached rows belong. */
  era: z.number().default(0),
  /** Version of the store that the querying instance has cached; -1 for none. */
  after: z.number(),
  /** Longest time to wait for a change, in ms. */
  waitMs: z.number().nonnegative(),
  /** Whether to send large changes too, since the querying instance cannot reach the store. */
  whole: z.boolean(),
});

/** A query for the rows that another instance has cached. */
export type RowQuery = z.output<typeof rowQuerySchema>;

/** Schema of the answer to a row query. */
export const rowUpdateSchema = z.object({
  /** Era of the store; if it is not that of the query, the changes are all rows. */
  era: z.number().default(0),
  version: z.number(),
  /** Changes since the queried version; null if too large to send or no longer known. */
  changes: z.array(z.tuple([z.string(), z.string().nullable()])).nullable(),
  /** Time since the rows were last known to be current, in ms. */
  ageMs: z.number(),
  /** Time since the store last failed to answer, in ms. */
  sinceFailureMs: z.number(),
});

/** The answer to a row query. */
export type RowUpdate = z.output<typeof rowUpdateSchema>;

/** The changes of an answer; a text of null stands for a removed row. */
export function rowChangesOf(changes: NonNullable<RowUpdate["changes"]>): RowChange[] {
  return changes.map(([key, text]) => [key, text ?? undefined]);
}
