import { Repeatability } from "./repeatability.js";
import type { RequestContext } from "./request-context.js";
import type { Route } from "./route.js";
import { ENGINE_FIRST_EVENT_MS } from "./stage-timing.js";

/** Typical latency of a plain service; ratings use ratios between upstreams only. */
const EXPECTED_PLAIN_LATENCY_MS = 45;
/** Events that a stream needs before its event interval is used to rate the engine. */
const MIN_RATED_EVENTS = 4;
/** Typical time between stream events; ratings use ratios between engines only. */
const EXPECTED_EVENT_INTERVAL_MS = 20;

/** Typical time from the dispatch of a request to the response that its target is for, in ms. */
export function expectedLatencyMs({ repeatability }: Route): number {
  return repeatability === Repeatability.Stream ? ENGINE_FIRST_EVENT_MS : EXPECTED_PLAIN_LATENCY_MS;
}

/**
 * Latency of a successful attempt as a multiple of the expected one; undefined if the response does
 * not tell it. `runCount` is the number of earlier attempts that may have run.
 */
export function attemptLatencyRatio(
  { route, progress }: RequestContext,
  durationMs: number,
  runCount: number,
): number | undefined {
  const { events, firstEventMs, lastEventMs } = progress;
  if (route.repeatability !== Repeatability.Stream) return durationMs / EXPECTED_PLAIN_LATENCY_MS;
  if (events < MIN_RATED_EVENTS || firstEventMs === undefined || runCount > 0) return undefined;
  const eventIntervalMs = ((lastEventMs ?? firstEventMs) - firstEventMs) / (events - 1);
  return eventIntervalMs / EXPECTED_EVENT_INTERVAL_MS;
}
