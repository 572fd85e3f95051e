/** Wait that a queue may have without being overloaded: a busy upstream ends its call by then. */
const MIN_ALLOWED_WAIT_MS = 200;
/** Fraction of the slack that waits may use; the rest is a reserve for arrivals not known yet. */
const MAX_WAIT_FRACTION = 0.75;
/** Waits up to about one call are not held against requests that have the slack for them. */
const SHORT_WAIT_MS = 500;

/**
 * Longest wait in ms, over all stages of a request, with which it is worth starting. `slackMs` is
 * the time to its target that its work leaves. Answers a load slightly above the capacity of a
 * stage: if waits longer than the slack are allowed, the queue stays that long for the whole burst,
 * and all its requests end late although nearly all of them could be in time.
 */
export function allowedWaitMs(slackMs: number): number {
  const shortMs = Math.min(SHORT_WAIT_MS, Math.max(MIN_ALLOWED_WAIT_MS, slackMs));
  return Math.max(shortMs, MAX_WAIT_FRACTION * slackMs);
}
