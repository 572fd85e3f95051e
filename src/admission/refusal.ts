import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Estimate } from "./estimate.js";
import type { Work } from "./work.js";

/** Longer queues only add delay: the work in them keeps no upstream busier. */
const MOST_WAIT_MS = 600;
/**
 * A queue of fewer works is not refused, however long it is estimated: the first estimates of a
 * service include connection set-up, and a small part of a limit makes a few works look long.
 */
const SHORT_QUEUE_WORKS = 8;
const LEAST_RETRY_MS = 100;

/**
 * The error with which work is refused, or undefined if it can be served in time. `stages` holds
 * the estimates of the stages that remain; the waits all begin now, so that the wait for a later
 * stage passes while earlier ones run.
 */
export function refusal(
  work: Work,
  leftMs: number,
  stages: readonly Estimate[],
): ServeError | undefined {
  // An instance that was frozen may read the answer to a claim before its timers run.
  if (leftMs <= 0)
    return ServeError.create(ErrorKind.DeadlineExceeded, `${work.stage}: no time left`);
  let finishMs = 0;
  let slackMs = 0;
  for (const { waitMs, serviceMs } of stages) {
    slackMs += Math.max(0, waitMs - finishMs);
    finishMs = Math.max(finishMs, waitMs) + serviceMs;
  }
  if (finishMs > leftMs) {
    // The queue drains in real time, so a retry can succeed when the excess has drained.
    const retryAfterMs = Math.max(LEAST_RETRY_MS, finishMs - leftMs);
    const detail = `${work.stage}: ${Math.round(finishMs)} ms needed, ${Math.round(leftMs)} left`;
    return ServeError.create(ErrorKind.DeadlineUnreachable, detail, { retryAfterMs });
  }
  const works = Math.max(0, ...stages.map(({ waiting }) => waiting));
  if (slackMs > MOST_WAIT_MS && works >= SHORT_QUEUE_WORKS) {
    const retryAfterMs = Math.max(LEAST_RETRY_MS, slackMs - MOST_WAIT_MS);
    const detail = `${work.stage}: the queue is ${Math.round(slackMs)} ms long`;
    return ServeError.create(ErrorKind.Overloaded, detail, { retryAfterMs });
  }
  return undefined;
}
