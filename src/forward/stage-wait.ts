import { z } from "zod";

/** Ranks with a wait of their own; less urgent ranks share the last one. */
export const TRACKED_RANKS = 12;

/** Schema of the times, by rank, that new pieces of a stage service wait for a call, in ms. */
export const stageWaitsSchema = z.object({
  /** For pieces whose results need little memory. */
  small: z.array(z.number()),
  /** For pieces whose calls are limited by result memory. */
  bulky: z.array(z.number()),
});

/** Times that new pieces of a stage service wait for a call. */
export type StageWaits = z.output<typeof stageWaitsSchema>;

/** Size of a result in bytes from which result memory limits the calls. */
export const MIN_BULKY_RESULT_BYTES = 500_000;

/** The wait of pieces of a rank, in ms. */
export function waitMsForRank(waits: StageWaits, rank: number, resultBytes: number): number {
  const list = resultBytes >= MIN_BULKY_RESULT_BYTES ? waits.bulky : waits.small;
  return list[Math.min(Math.max(0, rank), TRACKED_RANKS - 1)] ?? 0;
}
