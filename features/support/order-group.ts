import { createConsola } from "consola";
import { ConfigurationView } from "../../src/configuration/configuration-view.js";
import { Configuration } from "../../src/configuration/configuration.js";
import type { Decision } from "../../src/decision/decision.js";
import { LeaseKeeper } from "../../src/order/lease-keeper.js";
import { OrderDispatch } from "../../src/order/order-dispatch.js";
import { MemberState } from "../../src/peer/member-state.js";
import type { Settings } from "../../src/settings/settings.js";
import type { ManualTimers } from "../../src/time/manual-timers.js";
import { PauseDetection } from "../../src/time/pause-detection.js";
import { FreezableTimers } from "../../standin/freezable-timers.js";
import { MemoryEngine } from "../../standin/memory-engine.js";
import type { MemoryTable } from "../../standin/memory-table.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";

const settings = { bounds: { leaseMs: 10_000, longestOrderMs: 30_000 } } as Settings;

interface OrderInstance {
  readonly timers: FreezableTimers;
  readonly dispatch: OrderDispatch;
  readonly keeper: LeaseKeeper;
  readonly decisions: Decision[];
}

/** Instances that give orders to one engine, on manual timers. */
export class OrderGroup {
  readonly instances = new Map<string, OrderInstance>();
  readonly down = new Set<string>();
  /** Models wanted by each instance, which may disagree. */
  readonly wanted = new Map<string, string[]>();
  connectMs = 0;
  readonly engine: MemoryEngine;
  private readonly view = ConfigurationView.create();

  private constructor(
    private readonly clock: ManualTimers,
    private readonly table: MemoryTable,
    checksFencing: boolean,
  ) {
    this.engine = MemoryEngine.create(clock, checksFencing);
    const document = sampleConfiguration([{ id: "e1", service: "advice", port: 1 }]);
    const [engine] = document.upstreams;
    const models = [...document.models, { name: "chat", bytes: 1 }];
    const managed = { ...engine, models: ["advice", "chat"], checksFencing };
    this.view.adopt(Configuration.create(1, { ...document, models, upstreams: [managed] }));
  }

  static create(clock: ManualTimers, table: MemoryTable, checksFencing: boolean): OrderGroup {
    return new OrderGroup(clock, table, checksFencing);
  }

  /** Starts an instance; `pausesSeen` is false if it never notices that it was paused. */
  start(id: string, wanted: string, pausesSeen: boolean): void {
    const timers = FreezableTimers.create(this.clock);
    const decisions: Decision[] = [];
    const pauseDetection = PauseDetection.create({ timers });
    if (pausesSeen) pauseDetection.start();
    this.wanted.set(id, [wanted]);
    const parts = {
      timers,
      settings,
      table: this.table,
      incarnation: 1,
      pauses: pauseDetection,
      log: createConsola({ level: 0 }),
      members: {
        self: id,
        all: () => this.others(id),
        find: () => undefined,
        subscribe: () => ({ cancel: () => undefined }),
      },
      engineModels: this.engine.seenBy(timers, () => this.connectMs),
      weightStore: undefined,
      decisionLog: { write: (decision: Decision) => decisions.push(decision) },
      configurationView: this.view,
      wantedModels: { wanted: () => this.wanted.get(id) },
    };
    const keeper = LeaseKeeper.create(parts);
    const dispatch = OrderDispatch.create({ ...parts, leaseKeeper: keeper });
    this.instances.set(id, { timers, dispatch, keeper, decisions });
    dispatch.start();
  }

  instance(id: string): OrderInstance {
    const found = this.instances.get(id);
    if (found === undefined) throw new Error(`no instance ${id}`);
    return found;
  }

  private others(self: string) {
    return [...this.instances.keys()]
      .filter((id) => id !== self)
      .map((id) => ({
        id,
        incarnation: 1,
        dataCentre: "fes-a",
        peerAddress: "",
        cores: 1,
        state: this.down.has(id) ? MemberState.Dead : MemberState.Alive,
      }));
  }
}
