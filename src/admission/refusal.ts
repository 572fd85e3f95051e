import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Estimate } from "./estimate.js";
import type { Work } from "./work.js";

/** A longer queue adds delay without raising the utilization of the upstreams. */
const MAX_QUEUE_WAIT_MS = 600;
/**
 * With fewer items in the queue, no estimated wait causes a refusal: the first estimates of a
 * service include connection set-up, and with a small share of a limit a few items give a long estimate.
 */
const MIN_REFUSED_QUEUE_LENGTH = 8;
const MIN_RETRY_AFTER_MS = 100;

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
  // An instance whose process was suspended may read the answer to a claim before its timers run.
  if (leftMs <= 0)
    return ServeError.create(ErrorKind.DeadlineExceeded, `${work.stage}: the deadline has passed`);
  let finishMs = 0;
  let slackMs = 0;
  for (const { waitMs, serviceMs } of stages) {
    slackMs += Math.max(0, waitMs - finishMs);
    finishMs = Math.max(finishMs, waitMs) + serviceMs;
  }
  if (finishMs > leftMs) {
    // The queue drains in real time, so a retry can succeed when the excess has drained.
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, finishMs - leftMs);
    const detail = `${work.stage}: ${Math.round(finishMs)} ms needed, ${Math.round(leftMs)} ms left`;
    return ServeError.create(ErrorKind.DeadlineUnreachable, detail, { retryAfterMs });
  }
  const works = Math.max(0, ...stages.map(({ waiting }) => waiting));
  if (slackMs > MAX_QUEUE_WAIT_MS && works >= MIN_REFUSED_QUEUE_LENGTH) {
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, slackMs - MAX_QUEUE_WAIT_MS);
    const detail = `${work.stage}: estimated queueing delay of ${Math.round(slackMs)} ms is over the limit`;
    return ServeError.create(ErrorKind.Overloaded, detail, { retryAfterMs });
  }
  return undefined;
}
