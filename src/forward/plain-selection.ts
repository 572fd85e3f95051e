import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealth } from "./upstream-health.js";

/** A round trip to another data centre in units of the expected service time (10 ms of 45 ms). */
const REMOTE_COST = 0.25;
/** Weight of the share of failures; an upstream that fails always costs ten service times. */
const FAILURE_COST = 10;

/** What a choice among the upstreams of a plain service knows. */
export interface PlainSelection {
  readonly candidates: readonly UpstreamEntry[];
  readonly healthOf: (id: string) => UpstreamHealth;
  readonly dataCentre: string;
  /** Ids of upstreams that got the request before. */
  readonly tried: ReadonlySet<string>;
}

/**
 * Chooses the upstream with the least expected time. Answers the load pattern of short requests
 * that are far below the capacity of the service while one upstream fails, hangs or is slow.
 */
export function selectPlainUpstream(choice: PlainSelection): UpstreamEntry | undefined {
  const untried = choice.candidates.filter(({ id }) => !choice.tried.has(id));
  const reachable = untried.filter(({ id }) => !choice.healthOf(id).backingOff);
  let best: UpstreamEntry | undefined;
  let lowestCost = Infinity;
  for (const entry of reachable.length > 0 ? reachable : untried) {
    const standing = choice.healthOf(entry.id);
    if (standing.failing && standing.tryClaimProbe()) return entry;
    const load = (standing.latencyRatio ?? 1) * (1 + standing.inFlight / Math.max(1, entry.slots));
    const remote = entry.dataCentre === choice.dataCentre ? 0 : REMOTE_COST;
    const cost = load + remote + FAILURE_COST * standing.failureRate;
    if (cost >= lowestCost) continue;
    best = entry;
    lowestCost = cost;
  }
  return best;
}
