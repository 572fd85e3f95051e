import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealth } from "./upstream-health.js";

/** Round trip to another data centre, in units of the expected latency (10 ms of 45 ms). */
const REMOTE_COST = 0.25;
/** Cost of a failure rate of 1, in units of the expected latency. */
const FAILURE_COST = 10;

/** Input of the selection among the upstreams of a plain service. */
export interface PlainSelection {
  readonly candidates: readonly UpstreamEntry[];
  readonly healthOf: (id: string) => UpstreamHealth;
  readonly dataCentre: string;
  /** IDs of upstreams already attempted for the request. */
  readonly tried: ReadonlySet<string>;
}

/**
 * Selects the upstream with the lowest expected cost. Meant for short requests far below the
 * capacity of the service, while one upstream fails, hangs or is slow.
 */
export function selectPlainUpstream(selection: PlainSelection): UpstreamEntry | undefined {
  const untried = selection.candidates.filter(({ id }) => !selection.tried.has(id));
  const reachable = untried.filter(({ id }) => !selection.healthOf(id).backingOff);
  let best: UpstreamEntry | undefined;
  let lowestCost = Infinity;
  for (const entry of reachable.length > 0 ? reachable : untried) {
    const health = selection.healthOf(entry.id);
    if (health.failing && health.tryClaimProbe()) return entry;
    const load = (health.latencyRatio ?? 1) * (1 + health.inFlight / Math.max(1, entry.slots));
    const remoteCost = entry.dataCentre === selection.dataCentre ? 0 : REMOTE_COST;
    const cost = load + remoteCost + FAILURE_COST * health.failureRate;
    if (cost >= lowestCost) continue;
    best = entry;
    lowestCost = cost;
  }
  return best;
}
