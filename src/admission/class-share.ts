import type { Rank } from "../configuration/rank.js";
import { DecayedSum } from "./decayed-sum.js";
import { FairQueue } from "./fair-queue.js";
import { Tier } from "./tier.js";

/** Long enough to hold several of the longest stages. */
const RATE_WINDOW_MS = 5_000;
const TIER_COUNT = 3;

/** Waiting work of one class by tier, and how much work was offered and served. */
export class ClassShare {
  readonly queues = Array.from({ length: TIER_COUNT }, () => FairQueue.create());
  private readonly offeredWork: readonly DecayedSum[];
  private readonly servedWork: DecayedSum;

  private constructor(
    readonly name: string,
    readonly rank: Rank,
    now: number,
  ) {
    this.offeredWork = Array.from({ length: TIER_COUNT }, () =>
      DecayedSum.create(RATE_WINDOW_MS, now),
    );
    this.servedWork = DecayedSum.create(RATE_WINDOW_MS, now);
  }

  /** Starts to count at time `now`. */
  static create(name: string, rank: Rank, now: number): ClassShare {
    return new ClassShare(name, rank, now);
  }

  get empty(): boolean {
    return this.queues.every((queue) => queue.empty);
  }

  offer(tier: Tier, costMs: number, now: number): void {
    this.offeredWork[tier]?.add(costMs, now);
  }

  serve(costMs: number, now: number): void {
    this.servedWork.add(costMs, now);
  }

  /** Work offered in a tier, in ms of service per ms. */
  offeredRate(tier: Tier, now: number): number {
    return this.offeredWork[tier]?.rate(now) ?? 0;
  }

  served(now: number): number {
    return this.servedWork.valueAt(now);
  }
}
