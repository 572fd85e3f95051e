import type { Upstream } from "../configuration/configuration-document.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { Subscription } from "../time/subscription.js";
import { EngineTask, type EngineTaskParts } from "./engine-task.js";
import type { LeaseKeeper } from "./lease-keeper.js";
import { PLACEMENT_GROUP, managedEngines } from "./managed-engines.js";
import type { WantedModels } from "./wanted-models.js";

const READS_PER_LEASE = 2;

interface Parts extends EngineTaskParts {
  readonly configurationView: ConfigurationView;
  readonly leaseKeeper: LeaseKeeper;
  readonly wantedModels: WantedModels;
}

/** Brings the engines that this instance holds leases of to the wanted models and keeps them there. */
export class OrderDispatch {
  private readonly tasks = new Map<string, EngineTask>();
  private turns: Subscription | undefined;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): OrderDispatch {
    return new OrderDispatch(parts);
  }

  /** The lease group of an engine. */
  static group(engine: Upstream): string {
    return `engine.${engine.id}`;
  }

  start(): void {
    const { timers, settings, leaseKeeper } = this.parts;
    leaseKeeper.start();
    this.turns = timers.every(settings.bounds.leaseMs / READS_PER_LEASE, () => {
      this.turn();
    });
    this.turn();
  }

  /** Gives the leases up; no order is sent from now on. */
  stop(): void {
    this.turns?.cancel();
    this.parts.leaseKeeper.stop();
  }

  private turn(): void {
    const { configurationView, leaseKeeper, wantedModels } = this.parts;
    const { configuration } = configurationView;
    if (configuration === undefined) return;
    const engines = managedEngines(configuration);
    const groups = engines.map(OrderDispatch.group);
    leaseKeeper.keep(groups.length === 0 ? [] : [PLACEMENT_GROUP, ...groups]);
    for (const id of this.tasks.keys()) {
      if (!engines.some((engine) => engine.id === id)) this.tasks.delete(id);
    }
    for (const engine of engines) {
      const lease = leaseKeeper.lease(OrderDispatch.group(engine));
      const wanted = wantedModels.wanted(engine);
      if (lease === undefined || wanted === undefined) continue;
      const task = this.tasks.get(engine.id) ?? EngineTask.create(this.parts);
      this.tasks.set(engine.id, task);
      void task.turn(engine, wanted, lease, configuration);
    }
  }
}
