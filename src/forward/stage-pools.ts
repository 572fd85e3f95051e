import { z } from "zod";
import { FirstStageAdmission } from "../congestion/first-stage-admission.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { HeldPermits } from "../limit/held-permits.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import type { RetryBudget } from "./retry-budget.js";
import type { RouteView } from "./route-view.js";
import type { StageCaller } from "./stage-caller.js";
import { type StageOutcome, type StageTicket, stageOutcomeSchema } from "./stage-outcome.js";
import { StagePool } from "./stage-pool.js";
import { effectiveUpstreams } from "./effective-upstreams.js";
import { CALL_FILL_FRACTION, piecesPerMs } from "./stage-timing.js";
import type { StageOwners } from "./stage-owners.js";
import { shardOf, shardUpstreams } from "./stage-shard.js";
import {
  type StageSubmission,
  type SubmissionIdentity,
  stageSubmissionSchema,
  submissionKey,
} from "./stage-submission.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";
import { UpstreamResultMemory } from "./upstream-result-memory.js";

/** Limits of the peer calls that report an outcome to the submitter. */
const REPORT_TIMEOUT_MS = 500;
const MAX_REPORT_ATTEMPTS = 3;

const identityFields = { attemptId: z.string(), stage: z.number(), run: z.number() };
const cancelSchema = z.object({ service: z.string(), ...identityFields });
const releaseSchema = z.object({ service: z.string(), handles: z.array(z.string()) });

/** Schema of the report that a submission has ended. */
export const stageReportSchema = z.object({
  ...identityFields,
  outcome: stageOutcomeSchema,
});

/** Reports to the submitter that a submission has ended. */
export type StageReport = z.output<typeof stageReportSchema>;

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly routeView: RouteView;
  readonly directory: UpstreamDirectory;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly heldPermits: Pick<HeldPermits, "isReady" | "take">;
  readonly stageCaller: StageCaller;
  readonly stageOwners: StageOwners;
  readonly retryBudget: RetryBudget;
  readonly decisionLines: DecisionLines;
}

/** The stage pools that this instance owns; it fills their calls for all instances. */
export class StagePools {
  private readonly pools = new Map<string, StagePool>();
  /** Submitting instance by submission key. */
  private readonly submitters = new Map<string, string>();
  /** Result memory of the upstreams by service. */
  private readonly memories = new Map<string, UpstreamResultMemory>();
  private readonly firstStageAdmission: FirstStageAdmission;
  private reportLocally: (report: StageReport) => void = () => undefined;

  private constructor(private readonly parts: Parts) {
    this.firstStageAdmission = FirstStageAdmission.create({
      timers: parts.timers,
      upstreams: (service) => parts.directory.forService(service).length,
      piecesPerMs: (service) => this.piecesPerMs(service),
    });
  }

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

  /** Sets the receiver of reports on this instance's own submissions. */
  onReport(receiver: (report: StageReport) => void): void {
    this.reportLocally = receiver;
  }

  /** Number of submissions that have not ended. */
  get inProgress(): number {
    return this.submitters.size;
  }

  /** Hands submissions that have not started over to other instances before this one stops. */
  handOver(): void {
    this.parts.stageOwners.leave();
    for (const pool of this.pools.values()) pool.handOver();
  }

  /** Hands submissions over while this instance reaches no upstream. */
  suspend(suspended: boolean): void {
    this.parts.stageOwners.suspend(suspended);
    if (suspended) for (const pool of this.pools.values()) pool.handOver();
  }

  /** Throws `NotReady` for submissions of other instances once this one is about to stop. */
  submit(submission: StageSubmission, from: string): StageTicket {
    if (this.parts.stageOwners.leaving && from !== this.parts.self) {
      throw ServeError.create(ErrorKind.NotReady, "this instance is not an owner");
    }
    const key = submissionKey(submission);
    // Set first, as a repeated submission that has ended is reported before `admit` returns.
    this.submitters.set(key, from);
    const ticket = this.admit(submission);
    if (ticket.kind === "refused") this.submitters.delete(key);
    else this.parts.retryBudget.recordRequest(submission.service);
    this.parts.decisionLines.write("stage submission", {
      attempt: submission.attemptId,
      stage: submission.stage,
      service: submission.service,
      pieces: submission.pieces,
      rank: submission.rank,
      leftMs: submission.leftMs,
      allowedMs: submission.allowedMs,
      returning: submission.returning,
      from,
      ...ticket,
    });
    return ticket;
  }

  /** Refuses a request whose target the waits at its stages do not allow. */
  private admit(submission: StageSubmission): StageTicket {
    const { firstStageAdmission } = this;
    const ticket = this.pool(submission).submit(submission, (ownMs) =>
      firstStageAdmission.waitMs(submission, ownMs),
    );
    if (ticket.kind === "refused") {
      const retryAfterMs = firstStageAdmission.returnDelayMs(submission, ticket.retryAfterMs);
      return { ...ticket, retryAfterMs };
    }
    firstStageAdmission.recordAccepted(submission);
    return ticket;
  }

  /** Throughput of the upstreams of a service in pieces per ms, over all shards. */
  private piecesPerMs(service: string): number {
    const { directory, routeView, upstreamHealth } = this.parts;
    const capacity = routeView.configuration?.services.get(service)?.stage;
    if (capacity === undefined) return 0;
    const entries = directory.forService(service);
    const upstreams =
      entries.length === 0 ? 0 : effectiveUpstreams(entries, upstreamHealth, capacity);
    const latencyRatio = Math.max(1, upstreamHealth.medianLatencyRatio(entries));
    return (CALL_FILL_FRACTION * piecesPerMs(capacity, upstreams)) / latencyRatio;
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
        memory: this.memoryOf(service),
        upstreams: () => shardUpstreams(directory.forService(service), shard),
        capacity: () => routeView.configuration?.services.get(service)?.stage,
        tryTakeRetry: () => retryBudget.tryTakeRetry(service),
        onEnded: (submission, outcome) => void this.report(submission, outcome),
      });
      this.pools.set(key, pool);
    }
    return pool;
  }

  private memoryOf(service: string): UpstreamResultMemory {
    const memory = this.memories.get(service) ?? UpstreamResultMemory.create(this.parts.timers);
    this.memories.set(service, memory);
    return memory;
  }

  private async report(submission: StageSubmission, outcome: StageOutcome): Promise<void> {
    const { attemptId, stage, run, service } = submission;
    const key = submissionKey(submission);
    const submitter = this.submitters.get(key);
    this.submitters.delete(key);
    const report: StageReport = { attemptId, stage, run, outcome };
    if (submitter === undefined || submitter === this.parts.self) {
      this.reportLocally(report);
      return;
    }
    for (let attempt = 1; attempt <= MAX_REPORT_ATTEMPTS; attempt += 1) {
      try {
        await this.parts.peerCalls.call(
          submitter,
          PeerMethod.StageResults,
          report,
          REPORT_TIMEOUT_MS,
        );
        return;
      } catch (error) {
        const fields = { attempt: attemptId, service, submitter, detail: String(error) };
        this.parts.decisionLines.write("results not delivered", fields);
      }
    }
    if (outcome.kind === "made") this.release(service, outcome.handles);
  }
}
