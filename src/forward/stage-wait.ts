import { z } from "zod";

/** Ranks that waits are told apart for; less urgent ones count as the last. */
export const WAIT_RANKS = 12;

/** Schema of the times, by rank, that new pieces of a stage service wait for a call, in ms. */
export const stageWaitsSchema = z.object({
  /** For pieces whose results need little memory. */
  small: z.array(z.number()),
  /** For pieces whose results are limited by the memory for them. */
  bulky: z.array(z.number()),
});

/** Times that new pieces of a stage service wait for a call. */
export type StageWaits = z.output<typeof stageWaitsSchema>;

/** Size of a result from which the memory for results limits the calls. */
export const BULKY_BYTES = 500_000;

/** The wait of pieces of a rank, in ms. */
export function waitOf(waits: StageWaits, rank: number, resultBytes: number): number {
  const list = resultBytes >= BULKY_BYTES ? waits.bulky : waits.small;
  return list[Math.min(Math.max(0, rank), WAIT_RANKS - 1)] ?? 0;
}
