import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamStanding } from "./upstream-standing.js";

/** A round trip to another data centre in units of the expected service time (10 ms of 45 ms). */
const REMOTE_COST = 0.25;
/** Weight of the share of failures; an upstream that fails always costs ten service times. */
const FAILURE_COST = 10;

/** What a choice among the upstreams of a plain service knows. */
export interface PlainChoice {
  readonly candidates: readonly UpstreamEntry[];
  readonly standing: (id: string) => UpstreamStanding;
  readonly dataCentre: string;
  /** Ids of upstreams that got the request before. */
  readonly tried: ReadonlySet<string>;
}

/**
 * Chooses the upstream with the least expected time. Answers the load pattern of short requests
 * that are far below the capacity of the service while one upstream fails, hangs or is slow.
 */
export function choosePlain(choice: PlainChoice): UpstreamEntry | undefined {
  const untried = choice.candidates.filter(({ id }) => !choice.tried.has(id));
  const reachable = untried.filter(({ id }) => !choice.standing(id).avoided);
  let best: UpstreamEntry | undefined;
  let least = Infinity;
  for (const entry of reachable.length > 0 ? reachable : untried) {
    const standing = choice.standing(entry.id);
    if (standing.failing && standing.claimProbe()) return entry;
    const load = (standing.ratio ?? 1) * (1 + standing.inFlight / Math.max(1, entry.slots));
    const remote = entry.dataCentre === choice.dataCentre ? 0 : REMOTE_COST;
    const cost = load + remote + FAILURE_COST * standing.failures;
    if (cost >= least) continue;
    best = entry;
    least = cost;
  }
  return best;
}
