import type { Timers } from "../time/timers.js";
import type { PieceFailure } from "./piece-result.js";
import type { QueuedPiece, QueuedSubmission } from "./queued-submission.js";
import type { StageOutcome } from "./stage-outcome.js";
import { type StageSubmission, submissionKey } from "./stage-submission.js";

/** Failed calls after which a submission fails; three upstreams have failed it by then. */
const MAX_FAILED_CALLS = 3;
/** Time for which the outcome of an ended submission is kept to answer repeated submissions. */
const RETENTION_MS = 5_000;

interface SubmissionListeners {
  readonly onEnded: (submission: StageSubmission, outcome: StageOutcome) => void;
  /** Called with the handles of results that will not be used. */
  readonly onUnusedResults: (handles: readonly string[]) => void;
}

/** The submissions of one pool and their results. */
export class SubmissionRegistry {
  private readonly submissions = new Map<string, QueuedSubmission>();

  private constructor(
    private readonly timers: Timers,
    private readonly listeners: SubmissionListeners,
  ) {}

  static create(timers: Timers, listeners: SubmissionListeners): SubmissionRegistry {
    return new SubmissionRegistry(timers, listeners);
  }

  find(key: string): QueuedSubmission | undefined {
    return this.submissions.get(key);
  }

  add(submission: StageSubmission): QueuedSubmission {
    const now = this.timers.now();
    const queued: QueuedSubmission = {
      submission,
      enqueuedAtMs: now,
      targetMs: now + submission.targetLeftMs,
      deadlineMs: now + submission.leftMs,
      handles: Array.from({ length: submission.pieces }),
      resultDataCentres: [],
      failedCalls: 0,
      started: false,
      ended: false,
      outcome: undefined,
    };
    this.submissions.set(submissionKey(submission), queued);
    return queued;
  }

  /** Removes a submission; if it has not ended, its results are unused. */
  cancel(key: string): void {
    const queued = this.submissions.get(key);
    if (queued === undefined) return;
    this.submissions.delete(key);
    // The results of an ended submission belong to its submitter.
    if (queued.ended) return;
    queued.ended = true;
    this.listeners.onUnusedResults(resultHandles(queued));
  }

  /** Records a result; the last one ends the submission. */
  recordResult({ parent, piece }: QueuedPiece, handle: string, dataCentre: string): void {
    parent.handles[piece] = handle;
    parent.resultDataCentres.push(dataCentre);
    const handles = resultHandles(parent);
    if (handles.length < parent.handles.length) return;
    this.end(parent, { kind: "made", handles, dataCentre: mostFrequent(parent.resultDataCentres) });
  }

  /** Counts a failed call; returns whether the submission has reached the limit of them. */
  countFailedCall(parent: QueuedSubmission): boolean {
    parent.failedCalls += 1;
    return parent.failedCalls >= MAX_FAILED_CALLS;
  }

  /** Ends a submission as failed; its results so far are unused. */
  fail(parent: QueuedSubmission, reason: PieceFailure): void {
    if (parent.ended) return;
    this.listeners.onUnusedResults(resultHandles(parent));
    this.end(parent, { kind: "failed", reason, begun: parent.started });
  }

  /** Ends a submission that has not started, so that its submitter chooses another owner. */
  endAsMoved(parent: QueuedSubmission): void {
    parent.ended = true;
    this.submissions.delete(submissionKey(parent.submission));
    this.listeners.onEnded(parent.submission, { kind: "moved" });
  }

  private end(parent: QueuedSubmission, outcome: StageOutcome): void {
    parent.ended = true;
    parent.outcome = outcome;
    this.listeners.onEnded(parent.submission, outcome);
    const key = submissionKey(parent.submission);
    this.timers.after(RETENTION_MS, () => {
      if (this.submissions.get(key) === parent) this.submissions.delete(key);
    });
  }
}

function resultHandles({ handles }: QueuedSubmission): string[] {
  return handles.filter((handle) => handle !== undefined);
}

function mostFrequent(values: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0] ?? "";
}
