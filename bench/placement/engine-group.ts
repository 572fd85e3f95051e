import type { Timers } from "../../src/time/timers.js";
import type { EngineModels } from "../../src/upstream/engine-models.js";
import type { EngineOrder } from "../../src/upstream/engine-order.js";
import type { OrderPermit } from "../../src/upstream/order-permit.js";

const UNLOAD_MS = 200;

/** Engines that load at the rate of the weight store and run requests on a number of slots. */
export class EngineGroup implements EngineModels {
  /** Loads by engine address. */
  readonly loads = new Map<string, number>();
  private readonly models = new Map<string, Set<string>>();
  /** Times at which the slots of each engine become free. */
  private readonly slots = new Map<string, number[]>();

  private constructor(
    private readonly timers: Timers,
    private readonly loadMs: number,
  ) {}

  static create(timers: Timers, loadMs: number): EngineGroup {
    return new EngineGroup(timers, loadMs);
  }

  add(address: string, model: string, slots: number): void {
    this.models.set(address, new Set([model]));
    this.slots.set(address, Array<number>(slots).fill(0));
  }

  loadedModels(address: string): Promise<string[]> {
    return Promise.resolve([...(this.models.get(address) ?? [])]);
  }

  async sendOrder(address: string, order: EngineOrder, permit: () => OrderPermit): Promise<void> {
    permit();
    if (order.kind === "unload") this.models.get(address)?.delete(order.model);
    await this.timers.sleep(order.kind === "load" ? this.loadMs : UNLOAD_MS);
    if (order.kind === "unload") return;
    this.models.get(address)?.add(order.model);
    this.loads.set(address, (this.loads.get(address) ?? 0) + 1);
  }

  /** Runs a request that arrives at `at` on the engine that is free first, if that is in time. */
  run(model: string, at: number, costMs: number, latestStart: number): boolean {
    let chosen: { slots: number[]; slot: number; start: number } | undefined;
    for (const [address, models] of this.models) {
      const slots = this.slots.get(address) ?? [];
      const free = Math.min(...slots);
      const start = Math.max(at, free);
      if (!models.has(model) || start > latestStart || start >= (chosen?.start ?? Infinity)) {
        continue;
      }
      chosen = { slots, slot: slots.indexOf(free), start };
    }
    if (chosen === undefined) return false;
    chosen.slots[chosen.slot] = chosen.start + costMs;
    return true;
  }
}
