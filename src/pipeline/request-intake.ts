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
import { RunOnce, type RunOnceParts } from "./run-once.js";
import type { ServeRequest } from "./serve-request.js";
import type { StageParts } from "./stage-parts.js";

interface Parts extends StageParts, RunOnceParts {
  readonly attemptStates: AttemptRegistry;
  readonly configurationView: ConfigurationView;
  readonly answerLog: AnswerLog;
  readonly settings: Settings;
  readonly random: RandomSource;
  readonly newRequests: NewRequests;
  readonly pipelineAdmission: Pick<PipelineAdmission, "admit">;
  readonly metrics: Pick<Metrics, "requestEnded">;
}

/** Takes back what an ended request still holds at stages that it did not reach. */
type Withdrawal = () => void;

/** A caller's request as it came in. */
export interface IncomingRequest {
  readonly team: string;
  readonly pipeline: string;
  readonly body: RequestBody;
  readonly idempotencyKey: string | undefined;
}

/** Checks requests of callers and starts a task for each. */
export class RequestIntake {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): RequestIntake {
    return new RequestIntake(parts);
  }

  /** Starts a request and returns its answer, which fills as it runs. Throws if it is refused. */
  start(incoming: IncomingRequest): AnswerRecord {
    try {
      return this.startValidated(incoming);
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.Internal);
      this.measureRefusal(incoming, failure.kind);
      throw incoming.body.resend ? failure.afterDispatch() : failure;
    }
  }

  /** A refused request counts against the attainment of its class. */
  private measureRefusal({ team, body }: IncomingRequest, error: ErrorKind): void {
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
    const withdraw = request.resend === true ? undefined : this.admit(request);
    const record = this.parts.answerLog.start(request.id, request.team);
    void this.run(configuration, request, record, withdraw);
    return record;
  }

  private admit(request: ServeRequest): Withdrawal {
    const services = request.pipeline.stages.map((stage) => stage.service);
    this.parts.crashSuspects.check(request, services);
    return this.parts.pipelineAdmission.admit(request);
  }

  private async run(
    configuration: Configuration,
    request: ServeRequest,
    record: AnswerRecord,
    admitted: Withdrawal | undefined,
  ): Promise<void> {
    const { timers, answerLog, attemptStates } = this.parts;
    let withdraw = admitted;
    const state = RequestState.create(timers, request.deadline);
    const once = this.runOnce(configuration, request, state, record);
    const stop = new AbortController();
    const timeout = timers.after(request.deadline - timers.now(), () => {
      stop.abort(ServeError.create(ErrorKind.DeadlineExceeded, "the deadline has passed"));
    });
    try {
      if (once === undefined || (await once.claim(stop.signal))) {
        withdraw ??= this.admit(request);
        await PipelineRun.create(this.parts, configuration, request, state, record).run(
          stop.signal,
        );
      }
    } catch (error) {
      // Without a claim it is not known whether an earlier request with the key ran.
      const unknown = request.resend === true && once?.claimed !== true;
      const problem = this.problem(error, !state.abandon() || unknown);
      record.fail(once !== undefined && state.dispatched ? withoutRetry(problem) : problem);
    } finally {
      timeout.cancel();
      withdraw?.();
      if (state.abandon()) once?.release();
      else once?.finish();
      attemptStates.settle(request.id);
      answerLog.retire(record);
      this.measure(request, record);
    }
  }

  private measure(request: ServeRequest, record: AnswerRecord): void {
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

  private runOnce(
    configuration: Configuration,
    request: ServeRequest,
    state: RequestState,
    record: AnswerRecord,
  ): RunOnce | undefined {
    const { id, team, contentDigest, idempotencyKey } = request;
    if (idempotencyKey === undefined || !mustRunOnce(configuration, request.pipeline)) {
      return undefined;
    }
    this.parts.attemptStates.add(id, state);
    const entry = { team, idempotencyKey, contentDigest, request: id };
    return RunOnce.create(this.parts, entry, state, record);
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
    if (incoming.idempotencyKey === undefined && mustRunOnce(configuration, pipeline)) {
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

/** Whether a stage of the pipeline must not be sent twice. */
function mustRunOnce(configuration: Configuration, pipeline: Pipeline): boolean {
  return pipeline.stages.some(
    (stage) => configuration.service(stage.service)?.idempotent === false,
  );
}

/** A resend with the same key would get the same stored answer. */
function withoutRetry({ type, title, status, detail, kind, outcome }: Problem): Problem {
  return { type, title, status, detail, kind, outcome };
}
