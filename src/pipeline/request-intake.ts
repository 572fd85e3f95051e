import { createHash } from "node:crypto";
import { nanoid } from "nanoid";
import type { AnswerLog } from "../caller/answer-log.js";
import type { AnswerRecord } from "../caller/answer-record.js";
import type { Configuration } from "../configuration/configuration.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { NewRequests } from "../daemon/new-requests.js";
import { ErrorKind } from "../error/error-kind.js";
import { problemOf } from "../error/problem.js";
import { ServeError } from "../error/serve-error.js";
import type { RandomSource } from "../random/random-source.js";
import type { Settings } from "../settings/settings.js";
import { PipelineRun } from "./pipeline-run.js";
import type { RequestBody } from "./request-body.js";
import { RequestState } from "./request-state.js";
import type { ServeRequest } from "./serve-request.js";
import type { StageParts } from "./stage-run.js";

interface Parts extends StageParts {
  readonly configurationView: ConfigurationView;
  readonly answerLog: AnswerLog;
  readonly settings: Settings;
  readonly random: RandomSource;
  readonly newRequests: NewRequests;
}

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
    this.parts.newRequests.check();
    const configuration = this.configuration();
    const request = this.checked(configuration, incoming);
    const record = this.parts.answerLog.start(request.id, request.team);
    void this.run(configuration, request, record);
    return record;
  }

  private async run(
    configuration: Configuration,
    request: ServeRequest,
    record: AnswerRecord,
  ): Promise<void> {
    const { timers, random, answerLog } = this.parts;
    const state = RequestState.create(timers, request.deadline);
    const stop = new AbortController();
    const timeout = timers.after(request.deadline - timers.now(), () => {
      stop.abort(ServeError.create(ErrorKind.DeadlineExceeded, "the deadline has passed"));
    });
    try {
      await PipelineRun.create(this.parts, configuration, request, state, record).run(stop.signal);
    } catch (error) {
      const ran = !state.abandon();
      const failure = ServeError.from(error, ErrorKind.Internal);
      record.fail(problemOf(ran ? failure.afterDispatch() : failure, random));
    } finally {
      timeout.cancel();
      answerLog.retire(record);
    }
  }

  private checked(configuration: Configuration, incoming: IncomingRequest): ServeRequest {
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
