import { type Rank, ranksInOrder } from "../src/configuration/rank.js";
import { MEAN_TOKENS } from "./arrivals.js";
import { services } from "./deployment.js";
import { BATCH_SLOWDOWN, PREFILL_MS, TOKEN_MS } from "./fake-engine.js";

/** Mean service time of a generation in a full batch whose prefix is not cached, in ms. */
export const GENERATION_MS =
  PREFILL_MS + MEAN_TOKENS * TOKEN_MS * (1 + BATCH_SLOWDOWN * (services.advice.slots - 1));

/** Requests per second that a number of generation slots serves. */
export function requestCapacity(slots: number): number {
  return (slots / GENERATION_MS) * 1_000;
}

/**
 * The work that an ideal scheduler serves of each rank: floors first, then ranks in order. `work`
 * and `capacity` are in tokens.
 */
export function oracleWork(
  work: ReadonlyMap<Rank, number>,
  floors: ReadonlyMap<Rank, number>,
  capacity: number,
): Map<Rank, number> {
  const served = new Map<Rank, number>();
  let rest = capacity;
  for (const rank of ranksInOrder) {
    const floor = Math.min(work.get(rank) ?? 0, (floors.get(rank) ?? 0) * capacity);
    served.set(rank, floor);
    rest -= floor;
  }
  for (const rank of ranksInOrder) {
    const more = Math.min(rest, (work.get(rank) ?? 0) - (served.get(rank) ?? 0));
    served.set(rank, (served.get(rank) ?? 0) + more);
    rest -= more;
  }
  return served;
}
