import { createConsola } from "consola";
import { DemandMeter } from "../../src/admission/demand-meter.js";
import { Configuration } from "../../src/configuration/configuration.js";
import { ConfigurationView } from "../../src/configuration/configuration-view.js";
import { Rank } from "../../src/configuration/rank.js";
import { LeaseKeeper } from "../../src/order/lease-keeper.js";
import { OrderDispatch } from "../../src/order/order-dispatch.js";
import { PlacementTask } from "../../src/order/placement-task.js";
import { RandomSource } from "../../src/random/random-source.js";
import { type Settings, settingsSchema } from "../../src/settings/settings.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { MemoryTable } from "../../standin/memory-table.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";
import { SingleInstanceDemand } from "../../standin/single-instance-demand.js";
import { EngineGroup } from "./engine-group.js";
import type { ShiftFigures } from "./shift-figures.js";

const ENGINES = 8;
const SLOTS = 8;
const MODEL_BYTES = 10_000_000_000;
const BYTES_PER_SECOND = 1_000_000_000;
const LOAD_MS = 10_000;
const COST_MS = 400;
const LATEST_START_MS = 1_000;
const STEP_MS = 1_000;
const WINDOW = 5;
const RECOVERED = 0.95;
const CAPACITY = ENGINES * SLOTS * 1_000;
const MODELS = ["advice", "chat", "summary"];
const INITIAL = ["advice", "advice", "advice", "advice", "advice", "chat", "chat", "summary"];
const none = { services: {}, teams: {} };

/** Demand by model, as shares of the capacity of all engines. */
export type Mix = Readonly<Record<string, number>>;

/** Eight engines that hold one of three models each, under demand that shifts between them. */
export class ShiftRun {
  private readonly timers = ManualTimers.create();
  private readonly engines = EngineGroup.create(this.timers, LOAD_MS);
  private readonly meter = DemandMeter.create({ timers: this.timers });
  private readonly random: RandomSource;

  private constructor(seed: number, fixed: boolean) {
    this.random = RandomSource.create(seed);
    const configurationView = ConfigurationView.create();
    configurationView.adopt(this.configuration());
    const { timers } = this;
    let storeFreeAt = 0;
    const parts = {
      timers,
      settings: settingsOfBench(),
      table: MemoryTable.create(timers),
      incarnation: 1,
      pauses: { subscribe: () => ({ cancel: () => undefined }) },
      members: {
        self: "a",
        all: () => [],
        find: () => undefined,
        subscribe: () => ({ cancel: () => undefined }),
      },
      log: createConsola({ level: 0 }),
      decisionLog: { write: () => undefined },
      configurationView,
      demandSource: fixed ? { digest: () => none } : this.meter,
      demandReports: SingleInstanceDemand.create(),
      engineModels: this.engines,
      weightStore: {
        reserve: (_model: string, bytes: number, signal: AbortSignal) => {
          const start = Math.max(timers.now(), storeFreeAt);
          storeFreeAt = start + (bytes / BYTES_PER_SECOND) * 1_000;
          return timers.sleep(start - timers.now(), signal);
        },
      },
    };
    const leaseKeeper = LeaseKeeper.create(parts);
    const wantedModels = PlacementTask.create({ ...parts, leaseKeeper });
    wantedModels.start();
    OrderDispatch.create({ ...parts, leaseKeeper, wantedModels }).start();
  }

  static create(seed: number, fixed: boolean): ShiftRun {
    return new ShiftRun(seed, fixed);
  }

  /** Offers a mix for a time and measures the requests for one model. */
  async offer(mix: Mix, ms: number, measured: string): Promise<ShiftFigures> {
    const before = new Map(this.engines.loads);
    const perSecond: { offered: number; served: number }[] = [];
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      const second = { offered: 0, served: 0 };
      for (const model of MODELS) {
        const counts = this.step(model, mix[model] ?? 0);
        if (model === measured) Object.assign(second, counts);
      }
      perSecond.push(second);
      await this.timers.advance(STEP_MS);
    }
    const loads = [...this.engines.loads].map(([id, count]) => count - (before.get(id) ?? 0));
    return {
      recoveryMs: recoveryOf(perSecond),
      served: shareOf(perSecond),
      loads: loads.reduce((sum, count) => sum + count, 0),
      mostLoadsOfAnEngine: Math.max(0, ...loads),
    };
  }

  private step(model: string, share: number): { offered: number; served: number } {
    const start = this.timers.now();
    const mean = COST_MS / (share * CAPACITY);
    const counts = { offered: 0, served: 0 };
    for (
      let at = this.random.exponential(mean * STEP_MS);
      at < STEP_MS;
      at += this.random.exponential(mean * STEP_MS)
    ) {
      const costMs = COST_MS * (0.5 + this.random.fraction());
      this.meter.recordOffered(model, Rank.Urgent, "team", costMs);
      counts.offered += 1;
      const arrival = start + at;
      if (this.engines.run(model, arrival, costMs, arrival + LATEST_START_MS)) counts.served += 1;
    }
    return counts;
  }

  private configuration(): Configuration {
    const document = sampleConfiguration(
      INITIAL.map((service, at) => ({ id: `engine-${at + 1}`, service, port: at + 1 })),
    );
    const upstreams = document.upstreams.map((one) => ({ ...one, models: MODELS, slots: SLOTS }));
    for (const { address, service } of upstreams) this.engines.add(address, service, SLOTS);
    const models = MODELS.map((name) => ({ name, bytes: MODEL_BYTES }));
    const services = MODELS.map((name) => ({ name, kind: "generate", model: name }));
    return Configuration.create(1, { ...document, models, services, pipelines: [], upstreams });
  }
}

function settingsOfBench(): Settings {
  const bounds = settingsSchema.shape.bounds.parse(undefined);
  const weightStore = { endpoint: "http://127.0.0.1:1", bytesPerSecond: BYTES_PER_SECOND };
  return { bounds, weightStore } as Settings;
}

function shareOf(seconds: readonly { offered: number; served: number }[]): number {
  const offered = seconds.reduce((sum, one) => sum + one.offered, 0);
  return offered === 0 ? 1 : seconds.reduce((sum, one) => sum + one.served, 0) / offered;
}

/** End of the last window with too small a share; Infinity if that is the last window of all. */
function recoveryOf(seconds: readonly { offered: number; served: number }[]): number {
  let recovered = 0;
  for (let at = 0; at + WINDOW <= seconds.length; at += WINDOW) {
    if (shareOf(seconds.slice(at, at + WINDOW)) < RECOVERED) recovered = at + WINDOW;
  }
  return recovered >= seconds.length ? Infinity : recovered * STEP_MS;
}
