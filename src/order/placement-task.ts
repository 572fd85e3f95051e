import type { ConsolaInstance } from "consola";
import { nanoid } from "nanoid";
import type { DemandReports } from "../admission/demand-reports.js";
import type { DemandSource } from "../admission/demand-source.js";
import type { Configuration } from "../configuration/configuration.js";
import type { Upstream } from "../configuration/configuration-document.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { DecisionLog } from "../decision/decision-log.js";
import type { Table } from "../table/table.js";
import type { Settings } from "../settings/settings.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { LeaseKeeper } from "./lease-keeper.js";
import { modelNeeds } from "./model-needs.js";
import type { PlacedEngine } from "./placed-engine.js";
import { type Move, Placement } from "./placement.js";
import { PLACEMENT_GROUP, managedEngines } from "./managed-engines.js";
import { PlacementPlan } from "./placement-plan.js";
import type { WantedModels } from "./wanted-models.js";

const REPORT_AGE_MS = 10_000;
const READS_PER_LEASE = 2;
const MS_PER_SECOND = 1_000;

interface Parts {
  readonly timers: Timers;
  readonly settings: Settings;
  readonly table: Table;
  readonly leaseKeeper: LeaseKeeper;
  readonly configurationView: ConfigurationView;
  readonly demandSource: DemandSource;
  readonly demandReports: DemandReports;
  readonly decisionLog: Pick<DecisionLog, "write">;
  readonly log: ConsolaInstance;
}

/**
 * Reads the placement plan on every instance and changes it on the one that holds the lease of
 * placement. The row's version refuses the write of an instance that doesn't know it lost the lease.
 */
export class PlacementTask implements WantedModels {
  private placement: Placement;
  private plan: PlacementPlan | undefined;
  private fencing = 0;
  private withheld = "";
  private busy = false;
  private turns: Subscription | undefined;

  private constructor(private readonly parts: Parts) {
    this.placement = this.newPlacement();
  }

  static create(parts: Parts): PlacementTask {
    return new PlacementTask(parts);
  }

  start(): void {
    const { timers, settings } = this.parts;
    this.turns = timers.every(settings.bounds.leaseMs / READS_PER_LEASE, () => {
      if (!this.busy) void this.turn();
    });
    void this.turn();
  }

  stop(): void {
    this.turns?.cancel();
  }

  /** The planned models, else the model of the engine's service; unknown until the plan was read. */
  wanted(engine: Upstream): readonly string[] | undefined {
    const { configuration } = this.parts.configurationView;
    if (this.plan === undefined || configuration === undefined) return undefined;
    const model = configuration.service(engine.service)?.model;
    const models = this.plan.engines[engine.id] ?? (model === undefined ? [] : [model]);
    return models.filter((one) => engine.models?.includes(one));
  }

  private async turn(): Promise<void> {
    const { configuration } = this.parts.configurationView;
    if (configuration === undefined || managedEngines(configuration).length === 0) return;
    this.busy = true;
    try {
      this.plan = PlacementPlan.of(await this.parts.table.get(PlacementPlan.key));
      const lease = this.parts.leaseKeeper.lease(PLACEMENT_GROUP);
      if (lease === undefined || lease.remainingMs === 0) return;
      if (lease.fencing() !== this.fencing) {
        this.fencing = lease.fencing();
        this.placement = this.newPlacement();
        this.placement.takeOver(Object.keys(this.plan.engines));
      }
      await this.decide(configuration, this.plan);
    } catch (error) {
      this.parts.log.debug({ message: "placement not decided", error: String(error) });
    } finally {
      this.busy = false;
    }
  }

  private async decide(configuration: Configuration, plan: PlacementPlan): Promise<void> {
    const { demandSource, demandReports } = this.parts;
    const reports = demandReports.reports().filter(({ ageMs }) => ageMs <= REPORT_AGE_MS);
    const digests = [demandSource.digest(), ...reports.map(({ digest }) => digest)];
    this.placement.observe(modelNeeds(configuration, digests));
    const bytes = new Map(configuration.document.models.map((model) => [model.name, model.bytes]));
    let engines = managedEngines(configuration).map((engine) => this.placed(engine));
    let changed = plan;
    const moves: Move[] = [];
    for (;;) {
      const move = this.placement.next(engines, bytes);
      if (move === undefined) break;
      if (move.obstacle !== undefined) {
        this.withhold(move, move.obstacle);
        break;
      }
      moves.push(move);
      this.placement.ordered(move, bytes.get(move.model) ?? 0);
      engines = engines.map((one) => (one.id === move.engine ? { ...one, held: move.held } : one));
      changed = changed.with(move.engine, move.held);
    }
    if (changed === plan) return;
    if (await this.isAccepted(changed)) this.plan = changed;
    else for (const move of moves) this.placement.withdraw(move);
  }

  /** An unconfirmed write counts as not accepted; the next turn reads what the table holds. */
  private async isAccepted(plan: PlacementPlan): Promise<boolean> {
    try {
      const result = await this.parts.table.transact([plan.write()], nanoid());
      return result.kind === "committed";
    } catch (error) {
      this.parts.log.debug({ message: "placement not written", error: String(error) });
      return false;
    }
  }

  private placed(engine: Upstream): PlacedEngine {
    return {
      id: engine.id,
      models: engine.models ?? [],
      memoryBytes: engine.memoryBytes,
      capacity: engine.slots * MS_PER_SECOND,
      held: this.wanted(engine) ?? [],
    };
  }

  /** Writes a line for a load that must wait, once for each engine, model and reason. */
  private withhold({ engine, model }: Move, reason: string): void {
    const order = `load ${model}`;
    const key = `${engine} ${order} ${reason}`;
    if (key === this.withheld) return;
    this.withheld = key;
    this.parts.decisionLog.write({ kind: "place", upstream: engine, order, sent: false, reason });
  }

  private newPlacement(): Placement {
    const { timers, settings } = this.parts;
    return Placement.create({ timers, bytesPerSecond: settings.weightStore?.bytesPerSecond });
  }
}
