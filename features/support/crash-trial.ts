import { DemandMeter } from "../../src/admission/demand-meter.js";
import { ServicePools } from "../../src/admission/service-pools.js";
import type { AnswerRecord } from "../../src/caller/answer-record.js";
import { Configuration } from "../../src/configuration/configuration.js";
import { ConfigurationView } from "../../src/configuration/configuration-view.js";
import type { Upstream } from "../../src/configuration/configuration-document.js";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { PipelineRun } from "../../src/pipeline/pipeline-run.js";
import { RequestState } from "../../src/pipeline/request-state.js";
import type { StageParts } from "../../src/pipeline/stage-parts.js";
import { RandomSource } from "../../src/random/random-source.js";
import { CrashSuspects } from "../../src/routing/crash-suspects.js";
import { Hedges } from "../../src/routing/hedges.js";
import { RetryBudget } from "../../src/routing/retry-budget.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { DroppedAnswers } from "../../src/upstream/dropped-answers.js";
import type { UpstreamClient } from "../../src/upstream/upstream-client.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";
import { silentLog } from "./decision-parts.js";
import { FragileUpstream } from "./fragile-upstream.js";
import { MemoryUpdates } from "./memory-updates.js";

const DEADLINE_MS = 3_000;
const INNOCENT_INTERVAL_MS = 10;
const WARM_UP_MS = 2_000;

/** Stands in for crash attribution where it is disabled. */
const noAttribution = {
  check: () => undefined,
  mustRunAlone: () => false,
  claim: () => Promise.resolve(true),
  track: () => ({ signal: new AbortController().signal, end: () => undefined }),
} as unknown as CrashSuspects;

/** Instances with the real pools and crash attribution over fragile upstreams. */
export class CrashTrial {
  readonly timers = ManualTimers.create();
  readonly updates = MemoryUpdates.create(this.timers);
  readonly upstreams = new Map<string, FragileUpstream>();
  private readonly configuration: Configuration;
  private readonly view = ConfigurationView.create();
  private readonly instances: StageParts[];
  private sentCount = 0;
  /** Kinds of the errors of finished requests; undefined for those that were answered. */
  readonly innocentOutcomes: (ErrorKind | undefined)[] = [];
  readonly poisonOutcomes: (ErrorKind | undefined)[] = [];

  private constructor(
    count: number,
    upstreams: number,
    crashMs: number,
    attributeCrashes: boolean,
  ) {
    const ids = Array.from({ length: upstreams }, (_, index) => `retriever-${index + 1}`);
    const samples = ids.map((id, index) => ({ id, service: "retriever", port: index + 1 }));
    this.configuration = Configuration.create(1, {
      ...sampleConfiguration(samples),
      pipelines: [{ name: "search", stages: [{ name: "retrieve", service: "retriever" }] }],
    });
    this.view.adopt(this.configuration);
    for (const id of ids) this.upstreams.set(id, FragileUpstream.create(this.timers, crashMs));
    this.instances = Array.from({ length: count }, (_, index) =>
      this.createInstance(`i${index}`, count, attributeCrashes),
    );
  }

  static create(
    count: number,
    upstreams: number,
    crashMs: number,
    attributeCrashes = true,
  ): CrashTrial {
    return new CrashTrial(count, upstreams, crashMs, attributeCrashes);
  }

  get crashes(): number {
    return [...this.upstreams.values()].reduce((sum, { crashes }) => sum + crashes, 0);
  }

  /** Sends innocent requests at a constant rate, and poison ones through the instances in turn. */
  async run(contents: number, times: number, intervalMs: number): Promise<void> {
    let innocentCount = 0;
    const innocentLoad = this.timers.every(INNOCENT_INTERVAL_MS, () => {
      const index = innocentCount++;
      void this.send(index, `team-${index % 2}`, `silk ${index}`).then((error) => {
        this.innocentOutcomes.push(error?.kind);
      });
    });
    await this.timers.advance(WARM_UP_MS);
    for (let round = 0; round < times; round += 1) {
      for (let content = 0; content < contents; content += 1) {
        void this.send(round + content, "team-0", `poison ${content}`).then((error) => {
          this.poisonOutcomes.push(error?.kind);
        });
      }
      await this.timers.advance(intervalMs);
    }
    innocentLoad.cancel();
    await this.timers.advance(2 * DEADLINE_MS);
  }

  /** Sends a request through an instance; resolves with its error, if any. */
  async send(index: number, team: string, text: string): Promise<ServeError | undefined> {
    const { timers, configuration } = this;
    const parts = this.instances[index % this.instances.length];
    const pipeline = configuration.pipeline("search");
    const workClass = configuration.workClass("chat");
    if (parts === undefined || pipeline === undefined || workClass === undefined) {
      throw new Error("the sample configuration lacks the pipeline or class");
    }
    const deadline = timers.now() + DEADLINE_MS;
    const request = {
      id: `r${this.sentCount++}`,
      team,
      pipeline,
      workClass,
      input: { text, maxTokens: 1 },
      arrival: timers.now(),
      deadline,
      contentDigest: text,
      idempotencyKey: undefined,
    };
    const controller = new AbortController();
    const timeout = timers.after(DEADLINE_MS, () => {
      controller.abort(ServeError.create(ErrorKind.DeadlineExceeded, "the deadline has passed"));
    });
    const state = RequestState.create(timers, deadline);
    const ignore = () => undefined;
    const record = { events: [], result: ignore, end: ignore } as unknown as AnswerRecord;
    try {
      parts.crashSuspects.check(request, ["retriever"]);
      await PipelineRun.create(parts, configuration, request, state, record).run(controller.signal);
      return undefined;
    } catch (error) {
      return ServeError.from(error, ErrorKind.Internal);
    } finally {
      timeout.cancel();
    }
  }

  private createInstance(id: string, count: number, attributeCrashes: boolean): StageParts {
    const { timers, view } = this;
    const settings = { instance: { id, dataCentre: "fes-a", cores: 1 } };
    const clients = {
      of: ({ id: upstream }: Upstream) => this.upstreams.get(upstream) as unknown as UpstreamClient,
      close: () => Promise.resolve(),
    };
    const common = { timers, configurationView: view, clients, settings };
    const updates = this.updates.of(id);
    const suspects = CrashSuspects.create({ timers, updates, settings });
    suspects.start();
    return {
      ...common,
      hedges: Hedges.create({ timers }),
      stageCosts: { record: () => undefined },
      droppedAnswers: DroppedAnswers.create(),
      retryBudget: RetryBudget.create({ timers }),
      crashSuspects: attributeCrashes ? suspects : noAttribution,
      pools: ServicePools.create({
        ...common,
        decisionLog: silentLog,
        random: RandomSource.create(Number(id.slice(1)) + 1),
        demandSource: DemandMeter.create({ timers }),
        demandReports: { reports: () => [], liveInstances: () => count },
      }),
    };
  }
}
