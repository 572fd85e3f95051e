import { type Rank, ranksInOrder } from "../src/configuration/rank.js";
import type { Arrival } from "./arrivals.js";
import { teams } from "./deployment.js";
import type { Ending } from "./served-request.js";

/** Counts of one rank; work is in tokens of generation. */
export interface RankCount {
  arrived: number;
  inTime: number;
  late: number;
  refused: number;
  failed: number;
  offeredWork: number;
  usefulWork: number;
}

/** Sums the endings of the requests that arrived in the measured time. */
export class Tally {
  readonly ranks = new Map<Rank, RankCount>(ranksInOrder.map((rank) => [rank, emptyCount()]));
  readonly teamOffered = new Map<string, number>(teams.map((team) => [team, 0]));
  readonly teamUseful = new Map<string, number>(teams.map((team) => [team, 0]));
  requests = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): Tally {
    return new Tally();
  }

  of(rank: Rank): RankCount {
    return this.ranks.get(rank) ?? emptyCount();
  }

  add(arrival: Arrival, ending: Ending): void {
    const count = this.of(arrival.rank);
    const work = arrival.pipeline === "advice" ? arrival.tokens : 0;
    this.requests += 1;
    count.arrived += 1;
    count.offeredWork += work;
    increase(this.teamOffered, arrival.team, work);
    switch (ending) {
      case "in-time":
        count.inTime += 1;
        count.usefulWork += work;
        increase(this.teamUseful, arrival.team, work);
        return;
      case "late":
        count.late += 1;
        return;
      case "refused":
        count.refused += 1;
        return;
      case "failed":
        count.failed += 1;
    }
  }
}

function increase(sums: Map<string, number>, key: string, amount: number): void {
  sums.set(key, (sums.get(key) ?? 0) + amount);
}

function emptyCount(): RankCount {
  return {
    arrived: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
    offeredWork: 0,
    usefulWork: 0,
  };
}
