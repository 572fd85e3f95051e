import type { Timers } from "../time/timers.js";
import type { PieceFailure } from "./piece-result.js";
import type { QueuedPiece, QueuedSubmission } from "./queued-submission.js";
import type { StageOutcome } from "./stage-outcome.js";
import { type StageSubmission, submissionKey } from "./stage-submission.js";

/** Failed calls after which a submission is given up; three upstreams failed it by then. */
const MOST_FAILURES = 3;
/** Time for which a finished submission is remembered, for a repeated submission of it. */
const REMEMBERED_MS = 5_000;

interface Receivers {
  readonly ended: (submission: StageSubmission, outcome: StageOutcome) => void;
  /** Gets handles of results that nobody will use. */
  readonly unused: (handles: readonly string[]) => void;
}

/** The submissions of one pool, and what was made for each of them. */
export class SubmissionBook {
  private readonly known = new Map<string, QueuedSubmission>();

  private constructor(
    private readonly timers: Timers,
    private readonly receivers: Receivers,
  ) {}

  static create(timers: Timers, receivers: Receivers): SubmissionBook {
    return new SubmissionBook(timers, receivers);
  }

  find(key: string): QueuedSubmission | undefined {
    return this.known.get(key);
  }

  open(submission: StageSubmission): QueuedSubmission {
    const now = this.timers.now();
    const queued: QueuedSubmission = {
      submission,
      enqueuedMs: now,
      targetMs: now + submission.targetLeftMs,
      deadlineMs: now + submission.leftMs,
      handles: Array.from({ length: submission.pieces }),
      makers: [],
      failures: 0,
      begun: false,
      ended: false,
      outcome: undefined,
    };
    this.known.set(submissionKey(submission), queued);
    return queued;
  }

  /** Drops a submission. */
  cancel(key: string): void {
    const queued = this.known.get(key);
    if (queued === undefined) return;
    this.known.delete(key);
    // The results of an ended submission belong to its submitter.
    if (queued.ended) return;
    queued.ended = true;
    this.receivers.unused(made(queued));
  }

  /** Notes a result; the last one ends the submission. */
  made({ owner, piece }: QueuedPiece, handle: string, dataCentre: string): void {
    owner.handles[piece] = handle;
    owner.makers.push(dataCentre);
    const handles = made(owner);
    if (handles.length < owner.handles.length) return;
    this.end(owner, { kind: "made", handles, dataCentre: mostFrequent(owner.makers) });
  }

  /** Counts a failed call; returns whether the submission should be given up. */
  noteFailure(owner: QueuedSubmission): boolean {
    owner.failures += 1;
    return owner.failures >= MOST_FAILURES;
  }

  /** Ends a submission without its results. */
  fail(owner: QueuedSubmission, reason: PieceFailure): void {
    if (owner.ended) return;
    this.receivers.unused(made(owner));
    this.end(owner, { kind: "failed", reason, begun: owner.begun });
  }

  /** Ends a submission of which nothing has begun, so that another instance takes it. */
  move(owner: QueuedSubmission): void {
    owner.ended = true;
    this.known.delete(submissionKey(owner.submission));
    this.receivers.ended(owner.submission, { kind: "moved" });
  }

  private end(owner: QueuedSubmission, outcome: StageOutcome): void {
    owner.ended = true;
    owner.outcome = outcome;
    this.receivers.ended(owner.submission, outcome);
    const key = submissionKey(owner.submission);
    this.timers.after(REMEMBERED_MS, () => {
      if (this.known.get(key) === owner) this.known.delete(key);
    });
  }
}

function made({ handles }: QueuedSubmission): string[] {
  return handles.filter((handle) => handle !== undefined);
}

function mostFrequent(values: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0] ?? "";
}
