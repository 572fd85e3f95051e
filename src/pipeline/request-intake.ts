import { createHash } from "node:crypto";
import { nanoid } from "nanoid";
import type { PipelineAdmission } from "../admission/pipeline-admission.js";
import type { AnswerLog } from "../caller/answer-log.js";
import type { AnswerRecord } from "../caller/answer-record.js";
import type { Pipeline } from "../configuration/configuration-document.js";
import type { Configuration } from "../configuration/configuration.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { NewRequests } from "../daemon/new-requests.js";
import { ErrorKind } from "../error/error-kind.js";
import { type Problem, problemOf } from "../error/problem.js";
import { ServeError } from "../error/serve-error.js";
import type { Metrics } from "../metrics/metrics.js";
import type { RandomSource } from "../random/random-source.js";
import type { Settings } from "../settings/settings.js";
import type { AttemptRegistry } from "./attempt-registry.js";
import { PipelineRun } from "./pipeline-run.js";
import type { RequestBody } from "./request-body.js";
import { RequestState } from "./request-state.js";
import { IdempotencyGuard, type IdempotencyGuardParts } from "./idempotency-guard.js";
import type { ServeRequest } from "./serve-request.js";
import type { StageParts } from "./stage-parts.js";

interface Parts extends StageParts, IdempotencyGuardParts {
  readonly attemptStates: AttemptRegistry;
  readonly configurationView: ConfigurationView;
  readonly answerLog: AnswerLog;
  readonly settings: Settings;
  readonly random: RandomSource;
  readonly newRequests: NewRequests;
  readonly pipelineAdmission: Pick<PipelineAdmission, "admit">;
  readonly metrics: Pick<Metrics, "requestEnded">;
}

/** Cancels the reservations of an ended request at stages that it did not reach. */
type CancelReservations = () => void;

/** A caller's request before its validation. */
export interface IncomingRequest {
  readonly team: string;
  readonly pipeline: string;
  readonly body: RequestBody;
  readonly idempotencyKey: string | undefined;
}

/** Validates requests of callers and runs each in the background. */
export class RequestIntake {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): RequestIntake {
    return new RequestIntake(parts);
  }

  /** Starts a request and returns the record that its answer is written to; throws a refusal. */
  start(incoming: IncomingRequest): AnswerRecord {
    try {
      return this.startValidated(incoming);
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.Internal);
      this.recordRefusal(incoming, failure.kind);
      throw incoming.body.resend ? failure.afterDispatch() : failure;
    }
  }

  /** Counts a refused request as one that missed the target of its class. */
  private recordRefusal({ team, body }: IncomingRequest, error: ErrorKind): void {
    const { configurationView, metrics } = this.parts;
    const workClass = configurationView.configuration?.workClass(body.class);
    if (workClass === undefined) return;
    const { name: className, rank } = workClass;
    metrics.requestEnded({ className, rank, team, durationMs: 0, attained: false, error });
  }

  private startValidated(incoming: IncomingRequest): AnswerRecord {
    this.parts.newRequests.check();
    const configuration = this.configuration();
    const request = this.validate(configuration, incoming);
    const cancelReservations = request.resend === true ? undefined : this.admit(request);
    const record = this.parts.answerLog.start(request.id, request.team);
    void this.run(configuration, request, record, cancelReservations);
    return record;
  }

  private admit(request: ServeRequest): CancelReservations {
    const services = request.pipeline.stages.map((stage) => stage.service);
    this.parts.crashSuspects.check(request, services);
    return this.parts.pipelineAdmission.admit(request);
  }

  private async run(
    configuration: Configuration,
    request: ServeRequest,
    record: AnswerRecord,
    cancelAdmitted: CancelReservations | undefined,
  ): Promise<void> {
    const { timers, answerLog, attemptStates } = this.parts;
    let cancelReservations = cancelAdmitted;
    const state = RequestState.create(timers, request.deadline);
    const idempotencyGuard = this.createIdempotencyGuard(configuration, request, state, record);
    const stop = new AbortController();
    const timeout = timers.after(request.deadline - timers.now(), () => {
      stop.abort(
        ServeError.create(
          ErrorKind.DeadlineExceeded,
          "the deadline passed before the request ended",
        ),
      );
    });
    try {
      if (idempotencyGuard === undefined || (await idempotencyGuard.claim(stop.signal))) {
        cancelReservations ??= this.admit(request);
        await PipelineRun.create(this.parts, configuration, request, state, record).run(
          stop.signal,
        );
      }
    } catch (error) {
      // Without a confirmed claim it is unknown whether an earlier request with the key ran.
      const unknown = request.resend === true && idempotencyGuard?.claimed !== true;
      const problem = this.problem(error, !state.abandon() || unknown);
      record.fail(
        idempotencyGuard !== undefined && state.dispatched ? withoutRetry(problem) : problem,
      );
    } finally {
      timeout.cancel();
      cancelReservations?.();
      if (state.abandon()) idempotencyGuard?.release();
      else idempotencyGuard?.finish();
      attemptStates.settle(request.id);
      answerLog.retire(record);
      this.recordEnd(request, record);
    }
  }

  private recordEnd(request: ServeRequest, record: AnswerRecord): void {
    const { workClass, team, arrival } = request;
    const durationMs = this.parts.timers.now() - arrival;
    const last = record.page(record.size - 1)[0]?.event;
    const error = last?.kind === "error" ? last.problem.kind : undefined;
    this.parts.metrics.requestEnded({
      className: workClass.name,
      rank: workClass.rank,
      team,
      durationMs,
      attained: error === undefined && durationMs <= workClass.target.timeMs,
      error,
    });
  }

  private createIdempotencyGuard(
    configuration: Configuration,
    request: ServeRequest,
    state: RequestState,
    record: AnswerRecord,
  ): IdempotencyGuard | undefined {
    const { id, team, contentDigest, idempotencyKey } = request;
    if (idempotencyKey === undefined || !hasNonIdempotentStage(configuration, request.pipeline)) {
      return undefined;
    }
    this.parts.attemptStates.add(id, state);
    const entry = { team, idempotencyKey, contentDigest, request: id };
    return IdempotencyGuard.create(this.parts, entry, state, record);
  }

  private problem(error: unknown, dispatched: boolean): Problem {
    const failure = ServeError.from(error, ErrorKind.Internal);
    return problemOf(dispatched ? failure.afterDispatch() : failure, this.parts.random);
  }

  private validate(configuration: Configuration, incoming: IncomingRequest): ServeRequest {
    const { timers, settings } = this.parts;
    const { body } = incoming;
    const pipeline = configuration.pipeline(incoming.pipeline);
    if (pipeline === undefined) {
      throw ServeError.create(ErrorKind.UnknownPipeline, `no pipeline "${incoming.pipeline}"`);
    }
    const workClass = configuration.workClass(body.class);
    if (workClass === undefined) {
      throw ServeError.create(ErrorKind.UnknownClass, `no class "${body.class}"`);
    }
    if (body.deadlineMs > settings.limits.maxDeadlineMs) {
      const allowed = `at most ${settings.limits.maxDeadlineMs}`;
      throw ServeError.create(
        ErrorKind.MalformedRequest,
        `deadlineMs: ${body.deadlineMs}, ${allowed}`,
      );
    }
    if (incoming.idempotencyKey === undefined && hasNonIdempotentStage(configuration, pipeline)) {
      const detail = `pipeline "${pipeline.name}" requires the header Idempotency-Key`;
      throw ServeError.create(ErrorKind.IdempotencyKeyMissing, detail);
    }
    const arrival = timers.now();
    const content = JSON.stringify([pipeline.name, body.input]);
    return {
      id: `${settings.instance.id}.${nanoid()}`,
      team: incoming.team,
      pipeline,
      workClass,
      input: body.input,
      arrival,
      deadline: arrival + body.deadlineMs,
      contentDigest: createHash("sha256").update(content).digest("hex"),
      idempotencyKey: incoming.idempotencyKey,
      resend: body.resend,
    };
  }

  private configuration(): Configuration {
    const { configuration } = this.parts.configurationView;
    if (configuration === undefined) {
      throw ServeError.create(ErrorKind.NotReady, "no configuration is in force yet");
    }
    return configuration;
  }
}

/** Whether the pipeline has a stage that must not be sent twice. */
function hasNonIdempotentStage(configuration: Configuration, pipeline: Pipeline): boolean {
  return pipeline.stages.some(
    (stage) => configuration.service(stage.service)?.idempotent === false,
  );
}

/** Omits the retry delay: a resend with the same key would get the same stored answer. */
function withoutRetry({ type, title, status, detail, kind, outcome }: Problem): Problem {
  return { type, title, status, detail, kind, outcome };
}
