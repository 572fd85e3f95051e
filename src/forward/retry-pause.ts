import type { RandomSource } from "../random/random-source.js";

/** Delay after the first failed read, doubled by each further one; failed calls are charged too. */
const BASE_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 1_000;

/** Pause before the next read after a number of failed ones, in ms; differs between instances. */
export function retryPauseMs(failures: number, random: RandomSource): number {
  const delayMs = Math.min(MAX_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * 2 ** (failures - 1));
  return delayMs * (0.5 + 0.5 * random.fraction());
}
