import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealth } from "./upstream-health.js";

/** Latency ratio, relative to the median, above which an engine counts as slow. */
const SLOW_RATIO = 2.5;
/** Share of an engine's slots that one instance fills before it uses the next engine. */
export const MAX_UTILIZATION = 0.5;

/** Input of the engine selection. */
export interface EngineSelection {
  readonly candidates: readonly UpstreamEntry[];
  readonly healthOf: (id: string) => UpstreamHealth;
  /** Rendezvous hash of the prompt prefix; the engine of the highest weight is its home. */
  readonly weight: (id: string) => number;
  /** IDs of engines already attempted for the request. */
  readonly tried: ReadonlySet<string>;
}

/**
 * Selects the home engine of the prompt prefix, or the next engine by weight if the home is
 * unreachable, slow or full. This keeps each shared prefix cached on few engines: the parts of a
 * few shared prompts together fill the memory of one engine.
 */
export function selectEngine(selection: EngineSelection): UpstreamEntry | undefined {
  const untried = selection.candidates.filter(({ id }) => !selection.tried.has(id));
  const ordered = untried
    .map((entry) => ({ entry, weight: selection.weight(entry.id) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ entry }) => entry);
  const medianLatency = medianLatencyRatio(ordered, selection);
  const isUsable = (entry: UpstreamEntry): boolean => {
    const health = selection.healthOf(entry.id);
    if (health.backingOff) return false;
    const slow = (health.latencyRatio ?? medianLatency) > SLOW_RATIO * medianLatency;
    if ((slow || health.failing) && !health.tryClaimProbe()) return false;
    return health.inFlight < MAX_UTILIZATION * entry.slots;
  };
  return ordered.find(isUsable) ?? leastLoadedReachable(ordered, selection) ?? ordered[0];
}

function leastLoadedReachable(
  ordered: readonly UpstreamEntry[],
  selection: EngineSelection,
): UpstreamEntry | undefined {
  return ordered
    .filter(({ id }) => !selection.healthOf(id).backingOff)
    .sort((a, b) => selection.healthOf(a.id).inFlight - selection.healthOf(b.id).inFlight)[0];
}

function medianLatencyRatio(entries: readonly UpstreamEntry[], selection: EngineSelection): number {
  const ratios = entries
    .flatMap(({ id }) => selection.healthOf(id).latencyRatio ?? [])
    .sort((a, b) => a - b);
  return ratios[Math.floor(ratios.length / 2)] ?? 1;
}
