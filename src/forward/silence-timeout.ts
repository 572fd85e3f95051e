import { Repeatability } from "./repeatability.js";
import type { Route } from "./route.js";

/** Silence after which a repeatable request is tried elsewhere, as a part of its target. */
const TARGET_FACTOR = 1.5;
/** Least silence between events, or before the first one, after which a stream is resumed. */
const MIN_STREAM_TIMEOUT_MS = 1_500;
/** The same as a multiple of the pause target: callers wait eight times as long for an event. */
const PAUSE_TARGET_FACTOR = 6;

/**
 * Silence of an upstream, in ms, after which a request that may run again is tried elsewhere.
 * `targetMs` is the time from the arrival of the request to its target. Answers the load pattern of
 * engines that read long prompts: their streams pause and go on, while those of an engine that hangs
 * do not.
 */
export function silenceTimeoutMs(route: Route, targetMs: number): number {
  if (route.repeatability !== Repeatability.Stream) return TARGET_FACTOR * targetMs;
  return Math.max(MIN_STREAM_TIMEOUT_MS, PAUSE_TARGET_FACTOR * (route.pauseTargetMs ?? 0));
}
