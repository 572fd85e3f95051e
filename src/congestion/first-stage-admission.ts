import { DecayedSum } from "../admission/decayed-sum.js";
import { AdmittedBacklog } from "../forward/admitted-backlog.js";
import { shardCount, shardOf } from "../forward/stage-shard.js";
import type { StageSubmission } from "../forward/stage-submission.js";
import type { Timers } from "../time/timers.js";
import { ReportedWaits } from "./reported-waits.js";
import { ReturnSchedule } from "./return-schedule.js";

/** New work waits behind no promised returns while the queue is shorter than about one call. */
const SHORT_WAIT_MS = 300;

/** Time from the admission of work until a report of a later stage includes it: about one call. */
const TRANSIT_MS = 500;

interface Parts {
  readonly timers: Timers;
  /** Number of upstreams of a service. */
  readonly upstreams: (service: string) => number;
  /** Throughput of all upstreams of a service in pieces per ms. */
  readonly piecesPerMs: (service: string) => number;
}

/**
 * Decides at the owner of the first stage whether a request may start, by the waits at its later
 * stages, and when a refused caller may return. Answers overlapping bursts on stages that take less
 * than half of what is asked: of the requests that cannot be in time, none begins work.
 */
export class FirstStageAdmission {
  /** Backlog by shard of the first stage; shards share the throughput of later services equally. */
  private readonly backlogs = new Map<string, AdmittedBacklog>();
  /** Promised returns by shard of the first stage and rank. */
  private readonly schedules = new Map<string, ReturnSchedule>();
  /** Pieces that were admitted recently, by shard of the first stage, service and rank. */
  private readonly transits = new Map<string, DecayedSum>();
  private readonly reportedWaits: ReportedWaits;

  private constructor(private readonly parts: Parts) {
    this.reportedWaits = ReportedWaits.create(parts.timers);
  }

  static create(parts: Parts): FirstStageAdmission {
    return new FirstStageAdmission(parts);
  }

  /**
   * Wait over all stages of a new submission in ms, with the wait at its own stage. The backlog
   * includes the work that is still at the first stage, the reported waits do not.
   */
  waitMs(submission: StageSubmission, ownMs: number): number {
    const { rank, later, first, returning, allowedMs } = submission;
    const backlog = this.backlogFor(submission);
    const laterMs = later.map((each) =>
      Math.max(
        backlog.waitMs(each.service, rank),
        ownMs + this.reportedWaitMs(submission, each) + this.growthMs(submission, each.service),
      ),
    );
    const waitMs = Math.max(ownMs, ...laterMs);
    const yields = first === true && returning !== true && waitMs > SHORT_WAIT_MS;
    return yields ? waitMs + this.scheduleFor(submission).reservedMs(allowedMs) : waitMs;
  }

  /** Counts the work of an accepted submission until the stages have probably done it. */
  recordAccepted(submission: StageSubmission): void {
    const { service, rank, later, pieces, first, returning } = submission;
    if (later.length > 0) {
      const backlog = this.backlogFor(submission);
      const now = this.parts.timers.now();
      for (const each of later) {
        backlog.add(each.service, rank, each.pieces);
        this.transitFor(submission, each.service).add(each.pieces, now);
      }
      backlog.add(service, rank, pieces);
    }
    if (first === true && returning === true) this.scheduleFor(submission).claim();
  }

  /** Time in ms after which the caller of a refused submission should return. */
  returnDelayMs(submission: StageSubmission, excessMs: number): number {
    const { first, allowedMs } = submission;
    if (first !== true) return excessMs;
    return this.scheduleFor(submission).promise(this.costMs(submission), excessMs, allowedMs);
  }

  /** Time for which the request occupies the stage that it loads most, in ms. */
  private costMs({ service, pieces, later }: StageSubmission): number {
    const shards = shardCount(this.parts.upstreams(service));
    const costs = [{ service, pieces }, ...later].map((each) => {
      const rate = this.parts.piecesPerMs(each.service) / shards;
      return rate > 0 ? each.pieces / rate : 0;
    });
    return Math.max(...costs);
  }

  /** Wait at a later stage by the newest report of any submitter. */
  private reportedWaitMs(
    { attemptId, rank }: StageSubmission,
    { service, wait }: StageSubmission["later"][number],
  ): number {
    const key = `${service}/${shardOf(attemptId, this.parts.upstreams(service))}/${rank}`;
    if (wait !== undefined) this.reportedWaits.record(key, wait);
    return this.reportedWaits.waitMs(key);
  }

  /** Time by which the wait at a later stage will have grown when the work on its way is there. */
  private growthMs(submission: StageSubmission, service: string): number {
    const { upstreams, piecesPerMs, timers } = this.parts;
    const rate = piecesPerMs(service) / shardCount(upstreams(submission.service));
    if (rate <= 0) return 0;
    const pieces = this.transitFor(submission, service).valueAt(timers.now());
    return Math.max(0, pieces / rate - TRANSIT_MS);
  }

  private transitFor(submission: StageSubmission, service: string): DecayedSum {
    const key = `${this.shardKey(submission)}/${service}/${submission.rank}`;
    let transit = this.transits.get(key);
    if (transit === undefined) {
      transit = DecayedSum.create(TRANSIT_MS, this.parts.timers.now());
      this.transits.set(key, transit);
    }
    return transit;
  }

  private backlogFor(submission: StageSubmission): AdmittedBacklog {
    const key = this.shardKey(submission);
    let backlog = this.backlogs.get(key);
    if (backlog === undefined) {
      const shards = shardCount(this.parts.upstreams(submission.service));
      backlog = AdmittedBacklog.create(
        this.parts.timers,
        (later) => this.parts.piecesPerMs(later) / shards,
      );
      this.backlogs.set(key, backlog);
    }
    return backlog;
  }

  private scheduleFor(submission: StageSubmission): ReturnSchedule {
    const key = `${this.shardKey(submission)}/${submission.rank}`;
    let schedule = this.schedules.get(key);
    if (schedule === undefined) {
      schedule = ReturnSchedule.create(this.parts.timers);
      this.schedules.set(key, schedule);
    }
    return schedule;
  }

  private shardKey({ service, attemptId }: StageSubmission): string {
    const upstreams = this.parts.upstreams(service);
    return `${service}/${shardOf(attemptId, upstreams)}/${shardCount(upstreams)}`;
  }
}
