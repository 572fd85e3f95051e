import { Repeatability } from "./repeatability.js";
import type { Route } from "./route.js";

/** Silence after which a request is retried, as a multiple of its latency target. */
const TARGET_FACTOR = 1.5;
/** Minimum silence, before the first event or between events, before a stream is resumed. */
const MIN_STREAM_TIMEOUT_MS = 1_500;
/** Silence as a multiple of the pause target; callers wait eight times the target. */
const PAUSE_TARGET_FACTOR = 6;

/**
 * Silence of an upstream, in ms, after which a repeatable request is retried at another one.
 * `targetMs` is the time from the arrival of the request to its latency target. Streams of engines
 * that process long prompts pause and continue; those of an engine that hangs do not.
 */
export function silenceTimeoutMs(route: Route, targetMs: number): number {
  if (route.repeatability !== Repeatability.Stream) return TARGET_FACTOR * targetMs;
  return Math.max(MIN_STREAM_TIMEOUT_MS, PAUSE_TARGET_FACTOR * (route.pauseTargetMs ?? 0));
}
