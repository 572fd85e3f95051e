import type { AnswerRecord } from "../caller/answer-record.js";
import type { Configuration } from "../configuration/configuration.js";
import type { Service, Stage } from "../configuration/configuration-document.js";
import { ServiceKind } from "../configuration/service-kind.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { CallIdentity } from "../upstream/call-identity.js";
import type { DispatchGuard } from "./dispatch-guard.js";
import type { ServeRequest } from "./serve-request.js";
import { promptOf, stageCall } from "./stage-call.js";
import type { StageResults } from "./stage-results.js";
import type { StageParts } from "./stage-parts.js";
import { StageRun } from "./stage-run.js";

/** Runs the stages of one request in order and writes its answer. */
export class PipelineRun {
  private results: StageResults = {};

  private constructor(
    private readonly parts: StageParts,
    private readonly configuration: Configuration,
    private readonly request: ServeRequest,
    private readonly guard: DispatchGuard,
    private readonly record: AnswerRecord,
  ) {}

  static create(
    parts: StageParts,
    configuration: Configuration,
    request: ServeRequest,
    guard: DispatchGuard,
    record: AnswerRecord,
  ): PipelineRun {
    return new PipelineRun(parts, configuration, request, guard, record);
  }

  /** Runs all stages; if one fails, throws its `ServeError` and does not close the record. */
  async run(signal: AbortSignal): Promise<void> {
    for (const stage of this.request.pipeline.stages) {
      await this.runStage(stage, this.service(stage), signal);
    }
    if (this.results.answer !== undefined) this.record.result(this.results.answer);
    else if (this.record.events.length === 0)
      this.record.result(this.results.documents ?? this.results.embedding ?? null);
    this.record.end();
  }

  private async runStage(stage: Stage, service: Service, signal: AbortSignal): Promise<void> {
    const run = StageRun.create(this.parts, this.request, stage, service, this.guard);
    if (service.kind === ServiceKind.Generate) await this.generate(run, stage, service, signal);
    else await this.call(run, stage, service, service.kind, signal);
  }

  private async call(
    run: StageRun,
    stage: Stage,
    service: Service,
    kind: Exclude<ServiceKind, ServiceKind.Generate>,
    signal: AbortSignal,
  ): Promise<void> {
    const { path, body, results } = stageCall(kind, this.request.input, this.results);
    this.results = await run.run(
      "",
      async (client, attempt, _onProgress, stop) => {
        const identity = this.identity(stage, attempt);
        return results(await client.call(path, identity, body, stop, service.idempotent));
      },
      signal,
    );
  }

  private async generate(
    run: StageRun,
    stage: Stage,
    service: Service,
    signal: AbortSignal,
  ): Promise<void> {
    const prompt = promptOf(this.request.input, this.results);
    let receivedText = "";
    let receivedTokens = 0;
    await run.run(
      prompt,
      async (client, attempt, onProgress, stop) => {
        // The previous attempt failed after its last token, so nothing is left to generate.
        if (receivedTokens >= this.request.input.maxTokens) return;
        const tokens = client.generate(
          {
            identity: this.identity(stage, attempt),
            model: service.model ?? service.name,
            prompt,
            rank: this.request.workClass.rank,
            maxTokens: this.request.input.maxTokens,
            receivedText,
            receivedTokens,
          },
          stop,
        );
        for await (const token of tokens) {
          onProgress();
          if (token.index !== receivedTokens) {
            throw ServeError.create(
              ErrorKind.UpstreamFailed,
              `token ${token.index} arrived out of order`,
            );
          }
          receivedText += token.text;
          receivedTokens += 1;
          this.record.token(token.text);
        }
      },
      signal,
    );
  }

  private identity(stage: Stage, attempt: number): CallIdentity {
    return { request: this.request.id, stage: stage.name, attempt };
  }

  private service(stage: Stage): Service {
    const service = this.configuration.service(stage.service);
    if (service === undefined) {
      throw ServeError.create(ErrorKind.NoUpstream, `service "${stage.service}" is not configured`);
    }
    return service;
  }
}
