import { type Rank, ranksInOrder } from "../configuration/rank.js";
import { ServiceTimeEstimator } from "./service-time-estimator.js";

/**
 * Learnt service times of a service, for all work and by rank. Attempts of low rank wait inside busy
 * upstreams, so their times do not predict those of work of higher rank.
 */
export class RankServiceTimes {
  private readonly all = ServiceTimeEstimator.create();
  private readonly ranks = new Map(
    ranksInOrder.map((rank) => [rank, ServiceTimeEstimator.create()]),
  );

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

  learn(rank: Rank, costMs: number, durationMs: number): void {
    this.all.learn(costMs, durationMs);
    this.ranks.get(rank)?.learn(costMs, durationMs);
  }
}
