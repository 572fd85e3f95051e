import type { Slot } from "../../src/admission/slot.js";
import type { Work } from "../../src/admission/work.js";
import type { AnswerRecord } from "../../src/caller/answer-record.js";
import { Configuration } from "../../src/configuration/configuration.js";
import { ConfigurationView } from "../../src/configuration/configuration-view.js";
import type { Upstream } from "../../src/configuration/configuration-document.js";
import { PipelineRun } from "../../src/pipeline/pipeline-run.js";
import { RequestState } from "../../src/pipeline/request-state.js";
import { CrashSuspects } from "../../src/routing/crash-suspects.js";
import { Hedges } from "../../src/routing/hedges.js";
import { RetryBudget } from "../../src/routing/retry-budget.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import type { CallIdentity } from "../../src/upstream/call-identity.js";
import { DroppedAnswers } from "../../src/upstream/dropped-answers.js";
import type { GenerateRequest } from "../../src/upstream/generate-request.js";
import type { Token } from "../../src/upstream/token.js";
import type { UpstreamClient } from "../../src/upstream/upstream-client.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";
import { MemoryUpdates } from "./memory-updates.js";

const DEADLINE_MS = 3_000;
const MAX_TOKENS = 12;

/** Behaviour of the fake upstreams. */
export interface UpstreamBehaviour {
  readonly generate?: (
    request: GenerateRequest,
    upstream: string,
    signal: AbortSignal,
  ) => AsyncIterable<Token>;
  readonly call?: (upstream: string, signal: AbortSignal) => Promise<unknown>;
  /** Ids of upstreams that the configuration marks as leaving. */
  readonly leaving?: readonly string[];
}

/** Runs requests of one-stage pipelines on in-process fakes and manual timers. */
export class StageHarness {
  readonly timers = ManualTimers.create();
  /** Upstream ids of all attempts in order. */
  readonly attempts: string[] = [];
  private readonly configurationView = ConfigurationView.create();
  private readonly retryBudget = RetryBudget.create({ timers: this.timers });
  readonly hedges = Hedges.create({ timers: this.timers });
  readonly dropped = DroppedAnswers.create();
  readonly requestContent = { team: "branches", contentDigest: "digest" };
  readonly suspects = CrashSuspects.create({
    timers: this.timers,
    updates: MemoryUpdates.create(this.timers).of("a"),
    settings: { instance: { id: "a" } },
  });
  private configuration: Configuration;

  private constructor(private readonly behaviour: UpstreamBehaviour) {
    const names = ["advice", "booking", "retriever"].flatMap((service) =>
      [1, 2, 3, 4].map((at) => ({ id: `${service}-${at}`, service, port: at })),
    );
    const document = sampleConfiguration(names);
    this.configuration = Configuration.create(1, {
      ...document,
      pipelines: [
        { name: "advice", stages: [{ name: "generate", service: "advice" }] },
        { name: "search", stages: [{ name: "retrieve", service: "retriever" }] },
        { name: "booking", stages: [{ name: "book", service: "booking" }] },
      ],
      upstreams: document.upstreams.map((one) => ({
        ...one,
        state: behaviour.leaving?.includes(one.id) === true ? "leaving" : "active",
      })),
    });
    this.configurationView.adopt(this.configuration);
  }

  static create(behaviour: UpstreamBehaviour): StageHarness {
    return new StageHarness(behaviour);
  }

  /** Marks an upstream as leaving in the next configuration. */
  markLeaving(id: string): void {
    const { document, version } = this.configuration;
    const upstreams = document.upstreams.map((one) =>
      one.id === id ? { ...one, state: "leaving" } : one,
    );
    this.configuration = Configuration.create(version + 1, { ...document, upstreams });
    this.configurationView.adopt(this.configuration);
  }

  /** Runs a request and returns its tokens; throws the error that ended it. */
  async run(pipeline: string): Promise<{ texts: string[]; state: RequestState }> {
    const { timers, configuration } = this;
    const found = configuration.pipeline(pipeline);
    const workClass = configuration.workClass("chat");
    if (found === undefined || workClass === undefined)
      throw new Error("the pipeline or its class is not configured");
    const deadline = timers.now() + DEADLINE_MS;
    const request = {
      id: "r",
      ...this.requestContent,
      pipeline: found,
      workClass,
      input: { text: "text", maxTokens: MAX_TOKENS },
      arrival: timers.now(),
      deadline,
      idempotencyKey: undefined,
    };
    const state = RequestState.create(timers, deadline);
    const texts: string[] = [];
    const record = {
      events: texts,
      token: (text: string) => texts.push(text),
      result: () => undefined,
      end: () => undefined,
    } as unknown as AnswerRecord;
    const parts = {
      pools: {
        of: (service: string) => ({ acquire: this.acquire(service), estimate: unexpectedCall }),
      },
      clients: { of: (upstream: Upstream) => this.client(upstream.id), close: unexpectedCall },
      timers,
      configurationView: this.configurationView,
      retryBudget: this.retryBudget,
      hedges: this.hedges,
      stageCosts: { record: () => undefined },
      droppedAnswers: this.dropped,
      crashSuspects: this.suspects,
    };
    const run = PipelineRun.create(parts, configuration, request, state, record);
    await run.run(new AbortController().signal);
    return { texts, state };
  }

  private acquire(service: string): (work: Work) => Promise<Slot> {
    return (work) => {
      const upstream = this.configuration
        .upstreamsOf(service)
        .find((one) => !work.excluded.has(one.id));
      if (upstream === undefined) return Promise.reject(new Error("no upstream left"));
      return Promise.resolve({ upstream, release: () => undefined });
    };
  }

  private client(id: string): UpstreamClient {
    const { generate, call } = this.behaviour;
    return {
      generate: (request: GenerateRequest, signal: AbortSignal) => {
        this.attempts.push(id);
        return generate?.(request, id, signal) ?? unexpectedCall();
      },
      call: (_path: string, _identity: CallIdentity, _body: unknown, signal: AbortSignal) => {
        this.attempts.push(id);
        return call?.(id, signal) ?? unexpectedCall();
      },
      load: unexpectedCall,
      close: unexpectedCall,
    };
  }
}

function unexpectedCall(): never {
  throw new Error("the harness does not expect this call");
}
