import { ErrorKind } from "../error/error-kind.js";
import { Outcome } from "../error/outcome.js";
import { ServeError } from "../error/serve-error.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import type { StageLoads } from "./stage-loads.js";
import {
  type FinalStageOutcome,
  type StageOutcome,
  type StageTicket,
  stageTicketSchema,
} from "./stage-outcome.js";
import type { StageOwners } from "./stage-owners.js";
import { type StagePools, type StageReport, stageReportSchema } from "./stage-pools.js";
import { type StageSubmission, submissionKey } from "./stage-submission.js";

/** Several round trips in a region. */
const OWNER_CALL_TIMEOUT_MS = 500;
/** A stage is submitted again when its results are later than this factor plus the slack allows. */
const OVERDUE_FACTOR = 1.5;
const OVERDUE_SLACK_MS = 400;

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  readonly stageOwners: StageOwners;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly stagePools: StagePools;
  readonly stageLoads: StageLoads;
  readonly decisionLines: DecisionLines;
}

/** State of the earlier attempts to submit the same stage. */
interface EarlierSubmissions {
  /** Whether an instance that gave no answer or no report may have queued the submission. */
  unanswered: boolean;
}

/** Submits the stages of this instance's requests to their owners and awaits the results. */
export class StageDispatch {
  private readonly pending = new Map<string, (outcome: StageOutcome) => void>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StageDispatch {
    return new StageDispatch(parts);
  }

  /** Registers for reports from other instances and from this one. */
  start(): void {
    this.parts.peerMethods.register(PeerMethod.StageResults, (params) => {
      this.receive(stageReportSchema.parse(params));
      return Promise.resolve(true);
    });
    this.parts.stagePools.onReport((report) => {
      this.receive(report);
    });
  }

  /**
   * Runs the pieces of a stage. Throws `Overloaded` if the owner refuses them, `DeadlineExceeded`
   * when the deadline passes, and the signal's reason when it aborts.
   */
  async run(submission: StageSubmission, signal: AbortSignal): Promise<FinalStageOutcome> {
    const { timers } = this.parts;
    const key = submissionKey(submission);
    const deadlineMs = timers.now() + submission.leftMs;
    const targetMs = timers.now() + submission.targetLeftMs;
    let report = this.nextReport(key);
    let owner: string | undefined;
    const earlier = { unanswered: false };
    let { first } = submission;
    try {
      while (timers.now() < deadlineMs) {
        signal.throwIfAborted();
        const now = timers.now();
        const times = { leftMs: deadlineMs - now, targetLeftMs: targetMs - now };
        const later = this.withReportedWaits(submission);
        const current = { ...submission, ...times, first, later };
        const acceptance = await this.submit(current, earlier, owner);
        ({ owner } = acceptance);
        first = false;
        const reportTimeoutMs = OVERDUE_FACTOR * acceptance.expectedMs + OVERDUE_SLACK_MS;
        const reportTimeout = timers.sleep(Math.min(reportTimeoutMs, deadlineMs - now), signal);
        const outcome = await Promise.race([report, reportTimeout]);
        switch (outcome?.kind) {
          case "made":
            return outcome;
          case "failed":
            return { ...outcome, begun: outcome.begun || earlier.unanswered };
          case "moved":
            owner = undefined;
            report = this.nextReport(key);
            break;
          case undefined:
            earlier.unanswered = true;
        }
      }
      throw ServeError.create(
        ErrorKind.DeadlineExceeded,
        "stage results not reported before the deadline",
      );
    } finally {
      this.pending.delete(key);
      if (signal.aborted && owner !== undefined) void this.cancel(owner, submission);
    }
  }

  private withReportedWaits({ attemptId, rank, later }: StageSubmission): StageSubmission["later"] {
    return later.map((each) => {
      const { service, resultBytes = 0 } = each;
      const wait = this.parts.stageLoads.reported(service, attemptId, rank, resultBytes);
      return wait === undefined ? each : { ...each, wait };
    });
  }

  /** Releases results that are no longer needed. */
  release(service: string, attemptId: string, handles: readonly string[]): void {
    if (handles.length === 0) return;
    const [owner] = this.parts.stageOwners.ownersFor(service, attemptId);
    if (owner === undefined || owner === this.parts.self) {
      this.parts.stagePools.release(service, handles);
    } else void this.notifyOwner(owner, PeerMethod.StageRelease, { service, handles });
  }

  /** Resolves with the outcome in the next report on the submission. */
  private nextReport(key: string): Promise<StageOutcome> {
    return new Promise((resolve) => this.pending.set(key, resolve));
  }

  private receive(report: StageReport): void {
    const resolve = this.pending.get(submissionKey(report));
    if (resolve !== undefined) resolve(report.outcome);
  }

  private async submit(
    submission: StageSubmission,
    earlier: EarlierSubmissions,
    previous: string | undefined,
  ): Promise<{ owner: string; expectedMs: number }> {
    const { self, stagePools, stageOwners } = this.parts;
    const { service, attemptId } = submission;
    for (const owner of stageOwners.ownersFor(service, attemptId, previous)) {
      if (owner === self) break;
      const ticket = await this.submitTo(owner, submission, earlier);
      if (ticket !== undefined) return this.requireAccepted(owner, submission, ticket, earlier);
    }
    return this.requireAccepted(self, submission, stagePools.submit(submission, self), earlier);
  }

  private requireAccepted(
    owner: string,
    { service, attemptId }: StageSubmission,
    ticket: StageTicket,
    earlier: Readonly<EarlierSubmissions>,
  ): { owner: string; expectedMs: number } {
    if (ticket.waits !== undefined) this.parts.stageLoads.record(service, attemptId, ticket.waits);
    if (ticket.kind === "accepted") return { owner, expectedMs: ticket.expectedMs };
    throw ServeError.create(ErrorKind.Overloaded, "a stage queue cannot meet the deadline", {
      retryAfterMs: ticket.retryAfterMs,
      outcome: earlier.unanswered ? Outcome.MayHaveRun : Outcome.NotRun,
    });
  }

  /** Returns undefined if the instance does not answer, fails or declines submissions. */
  private async submitTo(
    owner: string,
    submission: StageSubmission,
    earlier: EarlierSubmissions,
  ): Promise<StageTicket | undefined> {
    const { peerCalls, stageOwners, decisionLines, timers } = this.parts;
    const sentAtMs = timers.now();
    try {
      const result = await peerCalls.call(
        owner,
        PeerMethod.StageSubmit,
        submission,
        OWNER_CALL_TIMEOUT_MS,
      );
      return stageTicketSchema.parse(result);
    } catch (error) {
      if (timers.now() - sentAtMs >= OWNER_CALL_TIMEOUT_MS) stageOwners.recordLateAnswer(owner);
      else stageOwners.markUnreachable(owner);
      const declined = error instanceof ServeError && error.kind === ErrorKind.NotReady;
      if (!declined) earlier.unanswered = true;
      const { attemptId, stage } = submission;
      const fields = { attempt: attemptId, stage, owner, detail: String(error) };
      decisionLines.write("submission not accepted", fields);
      return undefined;
    }
  }

  private async cancel(owner: string, submission: StageSubmission): Promise<void> {
    const { service, attemptId, stage, run } = submission;
    const cancelled = { service, attemptId, stage, run };
    if (owner === this.parts.self) this.parts.stagePools.cancel(cancelled);
    else await this.notifyOwner(owner, PeerMethod.StageCancel, cancelled);
  }

  private async notifyOwner(owner: string, method: PeerMethod, params: unknown): Promise<void> {
    try {
      await this.parts.peerCalls.call(owner, method, params, OWNER_CALL_TIMEOUT_MS);
    } catch (error) {
      this.parts.decisionLines.write("peer call failed", { owner, method, detail: String(error) });
    }
  }
}
