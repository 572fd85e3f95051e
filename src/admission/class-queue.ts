import type { Rank } from "../configuration/rank.js";
import { DecayedSum } from "./decayed-sum.js";
import { FairQueue } from "./fair-queue.js";
import { Tier } from "./tier.js";

/** Longer than several of the longest stages. */
const RATE_WINDOW_MS = 5_000;
const TIER_COUNT = 3;

/** Queues of one class by tier, and the recent amounts of offered and started work. */
export class ClassQueue {
  readonly queues = Array.from({ length: TIER_COUNT }, () => FairQueue.create());
  private readonly offeredWork: readonly DecayedSum[];
  private readonly startedWork: DecayedSum;

  private constructor(
    readonly name: string,
    readonly rank: Rank,
    now: number,
  ) {
    this.offeredWork = Array.from({ length: TIER_COUNT }, () =>
      DecayedSum.create(RATE_WINDOW_MS, now),
    );
    this.startedWork = DecayedSum.create(RATE_WINDOW_MS, now);
  }

  /** Measures rates from time `now` on. */
  static create(name: string, rank: Rank, now: number): ClassQueue {
    return new ClassQueue(name, rank, now);
  }

  get empty(): boolean {
    return this.queues.every((queue) => queue.empty);
  }

  recordOffered(tier: Tier, costMs: number, now: number): void {
    this.offeredWork[tier]?.add(costMs, now);
  }

  recordStarted(costMs: number, now: number): void {
    this.startedWork.add(costMs, now);
  }

  /** Rate of the work offered in a tier, in ms of service time per ms. */
  offeredRate(tier: Tier, now: number): number {
    return this.offeredWork[tier]?.rate(now) ?? 0;
  }

  /** Service time of the work started within about the rate window, in ms. */
  recentlyStartedMs(now: number): number {
    return this.startedWork.valueAt(now);
  }
}
