import type { RandomSource } from "../../src/random/random-source.js";
import type { ManualTimers } from "../../src/time/manual-timers.js";

const MS_PER_SECOND = 1_000;

export interface ColdLoad {
  readonly perSecond: number;
  readonly seconds: number;
  /** Requests per second with the same prompt, beside the others. */
  readonly hotPerSecond?: number;
}

/** Calls `arrive` at random times; returns before the first one. */
export function arriveAtRandom(
  { timers }: { readonly timers: ManualTimers },
  random: RandomSource,
  { perSecond, seconds, hotPerSecond = 0 }: ColdLoad,
  arrive: (hot: boolean) => void,
): void {
  const endMs = timers.now() + seconds * MS_PER_SECOND;
  const total = perSecond + hotPerSecond;
  const next = (): void => {
    timers.after(random.exponential(MS_PER_SECOND / total), () => {
      if (timers.now() >= endMs) return;
      arrive(random.fraction() < hotPerSecond / total);
      next();
    });
  };
  next();
}
