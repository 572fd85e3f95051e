import { z } from "zod";

/** Number of ranks with a wait of their own; less urgent ones share the last. */
export const TRACKED_RANKS = 12;

/** Schema of the times, by rank, that new pieces of a stage service wait for a call, in ms. */
export const stageWaitsSchema = z.object({
  /** For pieces whose results need little memory. */
  small: z.array(z.number()),
  /** For pieces whose results are limited by the memory for them. */
  bulky: z.array(z.number()),
});

/** Times that new pieces of a stage service wait for a call. */
export type StageWaits = z.output<typeof stageWaitsSchema>;

/** Result size in bytes from which result memory limits the calls. */
export const MIN_BULKY_RESULT_BYTES = 500_000;

/** The wait of pieces of a rank, in ms. */
export function waitMsForRank(waits: StageWaits, rank: number, resultBytes: number): number {
  const list = resultBytes >= MIN_BULKY_RESULT_BYTES ? waits.bulky : waits.small;
  return list[Math.min(Math.max(0, rank), TRACKED_RANKS - 1)] ?? 0;
}
