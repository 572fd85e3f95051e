import type { StageCapacity } from "./service-definition.js";
import type { QueueThroughput } from "./stage-queue.js";
import { fullCallMs, piecesPerMs } from "./stage-timing.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";

const MS_PER_SECOND = 1_000;
/** Bounds the expected waits where the upstreams accept nothing. */
const MIN_UPSTREAMS = 0.01;

/**
 * Number of upstreams without a limit that make as many full calls as the given ones do within the
 * limits that they state. Counts one upstream if there is none, as upstreams can be unreachable for
 * a moment only.
 */
export function effectiveUpstreams(
  entries: readonly UpstreamEntry[],
  upstreamHealth: UpstreamHealthRegistry,
  capacity: StageCapacity,
): number {
  if (entries.length === 0) return 1;
  const callsPerSecond = (MS_PER_SECOND * capacity.maxCalls) / fullCallMs(capacity);
  const parts = entries.map(({ id }) => {
    const limit = upstreamHealth.of(id).statedLimit;
    return limit === undefined ? 1 : Math.min(1, limit.perSecond / callsPerSecond);
  });
  return Math.max(
    MIN_UPSTREAMS,
    parts.reduce((sum, part) => sum + part, 0),
  );
}

/** Throughput of the upstreams at their present latency. */
export function queueThroughput(
  entries: readonly UpstreamEntry[],
  upstreamHealth: UpstreamHealthRegistry,
  capacity: StageCapacity,
): QueueThroughput {
  const latencyRatio = Math.max(1, upstreamHealth.medianLatencyRatio(entries));
  const upstreams = effectiveUpstreams(entries, upstreamHealth, capacity);
  return {
    baseCallMs: capacity.baseCallMs,
    piecesPerMs: piecesPerMs(capacity, upstreams) / latencyRatio,
  };
}
