import type { StageSubmission } from "../forward/stage-submission.js";

/** Returns the wait over all stages of a request from the wait at its own stage, in ms. */
export type PathWait = (ownMs: number) => number;

/** Expected times of a submission in ms. */
export interface ExpectedTimes {
  /** Wait for a call and the call. */
  readonly resultsMs: number;
  /** Waits over all stages of the request. */
  readonly pathWaitMs: number;
}

/**
 * Time in ms after which a refused submission is probably accepted; undefined if it is accepted.
 * The first submission of a request is refused if the waits leave no time for its target. Its
 * submitter checked this too, but by an earlier report that other submitters used at the same
 * time: in a burst they would together queue far more than each of them allows. A request whose
 * stages have begun is refused only if it would miss its deadline.
 */
export function refusalDelayMs(
  { leftMs, afterMs, later, first = later.length > 0, allowedMs }: StageSubmission,
  { resultsMs, pathWaitMs }: ExpectedTimes,
): number | undefined {
  if (resultsMs + afterMs > leftMs) return resultsMs;
  return first && pathWaitMs > allowedMs ? pathWaitMs - allowedMs : undefined;
}
