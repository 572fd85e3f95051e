import type { StageOutcome } from "./stage-outcome.js";
import type { StageSubmission } from "./stage-submission.js";

/** A submission that waits for results. Times are on the monotonic clock, in ms. */
export interface QueuedSubmission {
  readonly submission: StageSubmission;
  readonly enqueuedAtMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** Handles of the results so far by piece. */
  readonly handles: (string | undefined)[];
  /** Data centre of the upstream that produced each result. */
  readonly resultDataCentres: string[];
  /** Failed calls that a piece of the submission was part of. */
  failedCalls: number;
  /** Whether a piece has been sent in a call. */
  started: boolean;
  ended: boolean;
  /** How it ended; undefined while it waits and after it was cancelled. */
  outcome: StageOutcome | undefined;
}

/** One piece that waits for a call. */
export interface QueuedPiece {
  readonly parent: QueuedSubmission;
  readonly piece: number;
}
