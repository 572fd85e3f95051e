import { type Rank, ranksInOrder } from "../configuration/rank.js";
import { LearntCost } from "./learnt-cost.js";

/**
 * Learnt service times of a service, for all work and by rank. Attempts of low rank wait inside busy
 * upstreams, so their times say nothing about the time that more important work needs.
 */
export class RankCosts {
  private readonly all = LearntCost.create();
  private readonly ranks = new Map(ranksInOrder.map((rank) => [rank, LearntCost.create()]));

  private constructor() {
    // Instances come from `create`.
  }

  static create(): RankCosts {
    return new RankCosts();
  }

  /** Expected service time of work of any rank with the given estimate, in ms. */
  expected(costMs: number): number {
    return this.all.expected(costMs);
  }

  of(rank: Rank): LearntCost {
    return this.ranks.get(rank) ?? this.all;
  }

  learn(rank: Rank, costMs: number, durationMs: number): void {
    this.all.learn(costMs, durationMs);
    this.ranks.get(rank)?.learn(costMs, durationMs);
  }
}
