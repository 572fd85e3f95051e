import { z } from "zod";
import { StoreTable } from "./store-table.js";

/**
 * Age below which rows of another instance are as good as a read of the store. A reader is at most
 * 1.3 s behind; leaving upstreams must be known within 2 s.
 */
export const MAX_FRESH_AGE_MS = 1_400;

/** Schema of a question for the rows of another instance. */
export const rowQuerySchema = z.object({
  table: z.enum(StoreTable),
  /** Version of the store that the asking instance has; -1 for none. */
  after: z.number(),
  /** Longest time to wait for a change, in ms. */
  waitMs: z.number().nonnegative(),
  /** Whether the asking instance cannot read large rows from the store itself. */
  whole: z.boolean(),
});

/** A question for the rows of another instance. */
export type RowQuery = z.output<typeof rowQuerySchema>;

/** Schema of the rows that one instance tells another. */
export const rowUpdateSchema = z.object({
  version: z.number(),
  /** Changes since the version asked for; null if they are too large to tell. */
  changes: z.array(z.tuple([z.string(), z.string().nullable()])).nullable(),
  /** Time since the rows were known to be current, in ms. */
  ageMs: z.number(),
  /** Time since the store last failed to answer, in ms. */
  sinceFailureMs: z.number(),
});

/** The rows that one instance tells another. */
export type RowUpdate = z.output<typeof rowUpdateSchema>;
