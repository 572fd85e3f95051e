import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealth } from "./upstream-health.js";

/** Time to the first event, relative to the others, from which an engine counts as slow. */
const SLOW_RATIO = 2.5;
/** Part of an engine's slots that one instance fills before it uses the next engine. */
const MAX_UTILIZATION = 0.5;

/** What a choice among engines knows. */
export interface EngineSelection {
  readonly candidates: readonly UpstreamEntry[];
  readonly healthOf: (id: string) => UpstreamHealth;
  /** Order of preference by prompt prefix: the highest weight is the home of the prefix. */
  readonly weight: (id: string) => number;
  /** Ids of engines that got the request before. */
  readonly tried: ReadonlySet<string>;
}

/**
 * Chooses the home of the prompt's prefix, and the next engine in the order of the prefix if the
 * home is unreachable, slow or full. Answers the load pattern of many requests over a few shared
 * prompts, whose parts together fill the memory of one engine.
 */
export function selectEngine(choice: EngineSelection): UpstreamEntry | undefined {
  const untried = choice.candidates.filter(({ id }) => !choice.tried.has(id));
  const ordered = untried
    .map((entry) => ({ entry, weight: choice.weight(entry.id) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ entry }) => entry);
  const medianLatency = medianLatencyRatio(ordered, choice);
  const usable = (entry: UpstreamEntry): boolean => {
    const standing = choice.healthOf(entry.id);
    if (standing.backingOff) return false;
    const slow = (standing.latencyRatio ?? medianLatency) > SLOW_RATIO * medianLatency;
    if ((slow || standing.failing) && !standing.tryClaimProbe()) return false;
    return standing.inFlight < MAX_UTILIZATION * entry.slots;
  };
  return ordered.find(usable) ?? leastLoadedReachable(ordered, choice) ?? ordered[0];
}

function leastLoadedReachable(
  ordered: readonly UpstreamEntry[],
  choice: EngineSelection,
): UpstreamEntry | undefined {
  return ordered
    .filter(({ id }) => !choice.healthOf(id).backingOff)
    .sort((a, b) => choice.healthOf(a.id).inFlight - choice.healthOf(b.id).inFlight)[0];
}

function medianLatencyRatio(entries: readonly UpstreamEntry[], choice: EngineSelection): number {
  const ratios = entries
    .flatMap(({ id }) => choice.healthOf(id).latencyRatio ?? [])
    .sort((a, b) => a - b);
  return ratios[Math.floor(ratios.length / 2)] ?? 1;
}
