import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";

/** Call latency, relative to the median upstream, above which an upstream counts as slow. */
const SLOW_RATIO = 2;

interface DegradedSplitInput {
  readonly entries: readonly UpstreamEntry[];
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly mostPieces: number;
  /** Number of queued pieces. */
  readonly waiting: number;
}

/**
 * Separates out the upstreams that only get small calls: those that fail, and those so slow that
 * the others process all queued pieces in the time of one call to them. Without this, one slow
 * upstream among few delays every piece sent to it.
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
  // Calls with small pieces are faster than expected; that must not make other upstreams look slow.
  const medianRatio = Math.max(1, upstreamHealth.medianLatencyRatio(entries));
  const othersCapacity = (entries.length - 1) * mostPieces;
  const isDegraded = ({ id }: UpstreamEntry): boolean => {
    const health = upstreamHealth.of(id);
    if (health.failing) return true;
    const slowness = (health.latencyRatio ?? medianRatio) / medianRatio;
    return slowness > SLOW_RATIO && waiting < othersCapacity * slowness;
  };
  return {
    degraded: entries.filter((entry) => isDegraded(entry)),
    healthy: entries.filter((entry) => !isDegraded(entry)),
  };
}
