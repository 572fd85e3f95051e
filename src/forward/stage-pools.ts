import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import type { RetryBudget } from "./retry-budget.js";
import { FluidBacklog } from "./fluid-backlog.js";
import type { RouteView } from "./route-view.js";
import type { StageCaller } from "./stage-caller.js";
import { type StageOutcome, type StageTicket, stageOutcomeSchema } from "./stage-outcome.js";
import { StagePool } from "./stage-pool.js";
import { piecesPerMs } from "./stage-pace.js";
import type { StageOwners } from "./stage-owners.js";
import { shardOf, shardUpstreams, shardsOf } from "./stage-shard.js";
import {
  type StageSubmission,
  type SubmissionIdentity,
  stageSubmissionSchema,
  submissionKey,
} from "./stage-submission.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";

/** Time limit of a call that reports results, and how often it is made. */
const REPORT_MS = 500;
const REPORT_TRIES = 3;
/** Part of the pieces of full calls that upstreams make; some calls wait for inputs or links. */
const FILLED_PART = 0.85;

const identity = { attemptId: z.string(), stage: z.number(), run: z.number() };
const cancelSchema = z.object({ service: z.string(), ...identity });
const releaseSchema = z.object({ service: z.string(), handles: z.array(z.string()) });

/** Schema of a report that a submission ended. */
export const stageReportSchema = z.object({
  ...identity,
  outcome: stageOutcomeSchema,
});

/** A report that a submission ended. */
export type StageReport = z.output<typeof stageReportSchema>;

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly routeView: RouteView;
  readonly directory: UpstreamDirectory;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly stageCaller: StageCaller;
  readonly stageOwners: StageOwners;
  readonly retryBudget: RetryBudget;
  readonly decisionLines: DecisionLines;
}

/** The pools for which this instance fills calls, on behalf of all instances. */
export class StagePools {
  private readonly pools = new Map<string, StagePool>();
  /** Submitting instance by submission. */
  private readonly submitters = new Map<string, string>();
  /** Admitted work by the shard of its first stage; each shard gets its part of later services. */
  private readonly backlogs = new Map<string, FluidBacklog>();
  private local: (report: StageReport) => void = () => undefined;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StagePools {
    const pools = new StagePools(parts);
    const { peerMethods } = parts;
    peerMethods.register(PeerMethod.StageSubmit, (params, from) =>
      Promise.resolve(pools.submit(stageSubmissionSchema.parse(params), from)),
    );
    peerMethods.register(PeerMethod.StageCancel, (params) => {
      pools.cancel(cancelSchema.parse(params));
      return Promise.resolve(true);
    });
    peerMethods.register(PeerMethod.StageRelease, (params) => {
      const { service, handles } = releaseSchema.parse(params);
      pools.release(service, handles);
      return Promise.resolve(true);
    });
    return pools;
  }

  /** Sets the receiver of reports about submissions of this instance itself. */
  reportTo(receiver: (report: StageReport) => void): void {
    this.local = receiver;
  }

  /** Submissions whose results are not made yet. */
  get inProgress(): number {
    return this.submitters.size;
  }

  /** Gives the work that has not begun to other instances, as this one is about to stop. */
  handOver(): void {
    this.parts.stageOwners.leave();
    for (const pool of this.pools.values()) pool.handOver();
  }

  /** Throws `NotReady` for submissions of other instances once this one is about to stop. */
  submit(submission: StageSubmission, from: string): StageTicket {
    if (this.parts.stageOwners.leaving && from !== this.parts.self) {
      throw ServeError.create(ErrorKind.NotReady, "this instance is about to stop");
    }
    const key = submissionKey(submission);
    // A repeated submission that has ended is reported while it is submitted.
    this.submitters.set(key, from);
    const ticket = this.admitted(submission);
    if (ticket.kind === "refused") this.submitters.delete(key);
    else this.parts.retryBudget.recordRequest(submission.service);
    this.parts.decisionLines.write("stage submission", {
      attempt: submission.attemptId,
      stage: submission.stage,
      service: submission.service,
      pieces: submission.pieces,
      rank: submission.rank,
      leftMs: submission.leftMs,
      from,
      ...ticket,
    });
    return ticket;
  }

  /** Refuses a request for which the later stages have no room; they do not know of it yet. */
  private admitted(submission: StageSubmission): StageTicket {
    const { rank, later, allowedMs, pieces } = submission;
    const backlog = this.backlogOf(submission);
    const laterMs = later.map(({ service }) => backlog.waitMs(service, rank));
    const waitMs = Math.max(0, ...laterMs);
    if (waitMs > allowedMs) return { kind: "refused", retryAfterMs: waitMs - allowedMs };
    const ticket = this.pool(submission).submit(submission);
    if (ticket.kind === "accepted") {
      for (const each of later) backlog.add(each.service, rank, each.pieces);
      if (later.length > 0) backlog.add(submission.service, rank, pieces);
    }
    return ticket;
  }

  private backlogOf({ service, attemptId }: StageSubmission): FluidBacklog {
    const upstreams = this.parts.directory.forService(service).length;
    const shards = shardsOf(upstreams);
    const key = `${service}/${shardOf(attemptId, upstreams)}/${shards}`;
    let backlog = this.backlogs.get(key);
    if (backlog === undefined) {
      backlog = FluidBacklog.create(this.parts.timers, (later) => this.piecesPerMs(later) / shards);
      this.backlogs.set(key, backlog);
    }
    return backlog;
  }

  /** Pieces that the upstreams of a service make in a millisecond, over all requests. */
  private piecesPerMs(service: string): number {
    const { directory, routeView } = this.parts;
    const capacity = routeView.configuration?.services.get(service)?.stage;
    if (capacity === undefined) return 0;
    return FILLED_PART * piecesPerMs(capacity, directory.forService(service).length);
  }

  cancel(submission: SubmissionIdentity & Pick<StageSubmission, "service">): void {
    this.pool(submission).cancel(submissionKey(submission));
    this.submitters.delete(submissionKey(submission));
  }

  release(service: string, handles: readonly string[]): void {
    const pools = [...this.pools].filter(([key]) => key.startsWith(`${service}/`));
    const [first] = pools;
    if (first === undefined) this.parts.stageCaller.release(handles, () => undefined);
    else first[1].release(handles);
  }

  private pool({ service, attemptId }: { service: string; attemptId: string }): StagePool {
    const { directory, routeView, retryBudget } = this.parts;
    const shard = shardOf(attemptId, directory.forService(service).length);
    const key = `${service}/${shard}`;
    let pool = this.pools.get(key);
    if (pool === undefined) {
      pool = StagePool.create({
        ...this.parts,
        upstreams: () => shardUpstreams(directory.forService(service), shard),
        capacity: () => routeView.configuration?.services.get(service)?.stage,
        takeFurther: () => retryBudget.tryTakeRetry(service),
        ended: (submission, outcome) => void this.report(submission, outcome),
      });
      this.pools.set(key, pool);
    }
    return pool;
  }

  private async report(submission: StageSubmission, outcome: StageOutcome): Promise<void> {
    const { attemptId, stage, run, service } = submission;
    const key = submissionKey(submission);
    const submitter = this.submitters.get(key);
    this.submitters.delete(key);
    const report: StageReport = { attemptId, stage, run, outcome };
    if (submitter === undefined || submitter === this.parts.self) {
      this.local(report);
      return;
    }
    for (let attempt = 1; attempt <= REPORT_TRIES; attempt += 1) {
      try {
        await this.parts.peerCalls.call(submitter, PeerMethod.StageResults, report, REPORT_MS);
        return;
      } catch (error) {
        const fields = { attempt: attemptId, service, submitter, detail: String(error) };
        this.parts.decisionLines.write("results not delivered", fields);
      }
    }
    if (outcome.kind === "made") this.release(service, outcome.handles);
  }
}
