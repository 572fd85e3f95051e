import { Rank, ranksInOrder } from "../src/configuration/rank.js";
import type { RandomSource } from "../src/random/random-source.js";
import { teams } from "./deployment.js";
import { type Scenario, mix } from "./scenario.js";

export const MEAN_TOKENS = 64;
const LEAST_TOKENS = 32;
const TOKEN_RANGE = 65;
const PREFIXES_PER_TEAM = 4;
const TEAM_SHARES = [0.4, 0.3, 0.12, 0.1, 0.08];
const BOOKING_SHARE = 0.1;
/** Part of the greedy team's work that enters through two instances only. */
const CONCENTRATED = 0.5;

/** One request that a caller sends. */
export interface Arrival {
  readonly at: number;
  readonly rank: Rank;
  readonly team: string;
  readonly instance: number;
  readonly pipeline: "advice" | "booking";
  readonly tokens: number;
  readonly prefix: string;
}

/** Seeded arrivals in order of time; `capacity` is in requests per second. */
export function arrivals(
  scenario: Scenario,
  capacity: number,
  instances: number,
  endMs: number,
  random: RandomSource,
): Arrival[] {
  const streams = ranksInOrder.flatMap((rank) => {
    const steady = Math.min(mix[rank], scenario.offered[rank]);
    return [
      { rank, rate: steady * capacity, from: 0, greedy: false },
      {
        rank,
        rate: (scenario.offered[rank] - steady) * capacity,
        from: scenario.surgeMs,
        greedy: false,
      },
    ];
  });
  const greedyRate = scenario.greedy * capacity;
  streams.push({ rank: Rank.Standard, rate: greedyRate, from: scenario.surgeMs, greedy: true });
  const all: Arrival[] = [];
  for (const { rank, rate, from, greedy } of streams.filter((stream) => stream.rate > 0)) {
    for (let at = from + random.exponential(1_000 / rate); at < endMs;) {
      const team = greedy ? teams[0] : pickTeam(random.fraction());
      const few = greedy && random.fraction() < CONCENTRATED;
      all.push({
        at,
        rank,
        team,
        instance: random.below(few ? 2 : instances),
        pipeline: !greedy && random.fraction() < BOOKING_SHARE ? "booking" : "advice",
        tokens: LEAST_TOKENS + random.below(TOKEN_RANGE),
        prefix: `${team}-${random.below(PREFIXES_PER_TEAM)}`,
      });
      at += random.exponential(1_000 / rate);
    }
  }
  return all.sort((a, b) => a.at - b.at);
}

function pickTeam(fraction: number): string {
  let rest = fraction;
  for (const [at, share] of TEAM_SHARES.entries()) {
    if (rest < share) return teams[at] ?? teams[0];
    rest -= share;
  }
  return teams[0];
}
