import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";

/** Time of a call, relative to the typical upstream, from which an upstream counts as slow. */
const SLOW_RATIO = 2;

interface DegradedSplitInput {
  readonly entries: readonly UpstreamEntry[];
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly mostPieces: number;
  /** Pieces that wait for a call. */
  readonly waiting: number;
}

/**
 * Tells apart the upstreams that only get small calls: those that fail, and those so slow that the
 * others finish all waiting pieces in the time of one call to them. Answers the load pattern of one
 * slow upstream among few, which holds up whatever it is given.
 */
export function splitDegraded({
  entries,
  upstreamHealth,
  mostPieces,
  waiting,
}: DegradedSplitInput): {
  readonly degraded: readonly UpstreamEntry[];
  readonly healthy: readonly UpstreamEntry[];
} {
  // Calls of small pieces are faster than stated, which makes no other upstream slow.
  const medianRatio = Math.max(1, upstreamHealth.medianLatencyRatio(entries));
  const othersCapacity = (entries.length - 1) * mostPieces;
  const isDegraded = ({ id }: UpstreamEntry): boolean => {
    const standing = upstreamHealth.of(id);
    if (standing.failing) return true;
    const slowness = (standing.latencyRatio ?? medianRatio) / medianRatio;
    return slowness > SLOW_RATIO && waiting < othersCapacity * slowness;
  };
  return {
    degraded: entries.filter((entry) => isDegraded(entry)),
    healthy: entries.filter((entry) => !isDegraded(entry)),
  };
}
