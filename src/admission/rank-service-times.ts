import { type Rank, ranksInOrder } from "../configuration/rank.js";
import { ServiceTimeEstimator } from "./service-time-estimator.js";

/** Time without a sample after which learnt times say little about the present, in ms. */
const OUTDATED_MS = 5_000;

/**
 * Learnt service times of a service, for all work and by rank. Attempts of low rank wait inside busy
 * upstreams, so their times do not predict those of work of higher rank.
 */
export class RankServiceTimes {
  private all = ServiceTimeEstimator.create();
  private ranks = rankEstimators();
  private learntMs: number | undefined;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): RankServiceTimes {
    return new RankServiceTimes();
  }

  /** Expected service time of work of any rank with the given estimate, in ms. */
  expected(costMs: number): number {
    return this.all.expected(costMs);
  }

  of(rank: Rank): ServiceTimeEstimator {
    return this.ranks.get(rank) ?? this.all;
  }

  /** `nowMs` is the time on the monotonic clock. */
  learn(rank: Rank, costMs: number, durationMs: number, nowMs: number): void {
    this.learntMs = nowMs;
    this.all.learn(costMs, durationMs);
    this.ranks.get(rank)?.learn(costMs, durationMs);
  }

  /** Forgets times that are outdated; returns whether there were any. */
  forgetOutdated(nowMs: number): boolean {
    if (this.learntMs === undefined || nowMs - this.learntMs < OUTDATED_MS) return false;
    this.all = ServiceTimeEstimator.create();
    this.ranks = rankEstimators();
    this.learntMs = undefined;
    return true;
  }
}

function rankEstimators(): Map<Rank, ServiceTimeEstimator> {
  return new Map(ranksInOrder.map((rank) => [rank, ServiceTimeEstimator.create()]));
}
