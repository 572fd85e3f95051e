import type { StageOutcome } from "./stage-outcome.js";
import type { StageSubmission } from "./stage-submission.js";

/** A submission that waits for results. Times are on the monotonic clock, in ms. */
export interface QueuedSubmission {
  readonly submission: StageSubmission;
  readonly enqueuedAtMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** Handles of the results by piece; undefined for pieces without a result yet. */
  readonly handles: (string | undefined)[];
  /** Data centre of the upstream that produced each result. */
  readonly resultDataCentres: string[];
  /** Failed calls that carried pieces of the submission. */
  failedCalls: number;
  /** Whether a piece has been sent in a call. */
  started: boolean;
  ended: boolean;
  /** Undefined until the submission ends, and if it was cancelled or handed over. */
  outcome: StageOutcome | undefined;
}

/** One piece that waits for a call. */
export interface QueuedPiece {
  readonly parent: QueuedSubmission;
  readonly piece: number;
}
