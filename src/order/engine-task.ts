import type { Configuration } from "../configuration/configuration.js";
import type { Upstream } from "../configuration/configuration-document.js";
import type { DecisionLog } from "../decision/decision-log.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { WeightStore } from "../table/weight-store.js";
import type { Settings } from "../settings/settings.js";
import type { Timers } from "../time/timers.js";
import type { EngineModels } from "../upstream/engine-models.js";
import type { EngineOrder } from "../upstream/engine-order.js";
import type { OrderPermit } from "../upstream/order-permit.js";
import type { Lease } from "./lease.js";

const READ_MS = 2_000;

/** What the orders to engines need. */
export interface EngineTaskParts {
  readonly timers: Timers;
  readonly settings: Settings;
  readonly engineModels: EngineModels;
  readonly weightStore: WeightStore | undefined;
  readonly decisionLog: Pick<DecisionLog, "write">;
}

/**
 * Gives one engine its orders while this instance holds the engine's lease, at most one at a time.
 *
 * With an engine that checks the fencing number, an order of an old holder has no effect once an
 * order of a newer one arrived. With an engine that ignores it, a new holder sends its first order
 * `bounds.longestOrderMs` after it took the lease, when every order that was sent in time has taken
 * effect or failed. What remains possible is that an order takes effect later than that: because
 * the network or the engine kept it longer, or because the old holder's process was paused between
 * the check of its remaining time and the write of the order. It then loads or unloads one model
 * against the wanted state. The holder sees that at its next read-back, at most half of
 * `bounds.leaseMs` and a read of 2 s later, and reverses it by an order, which takes
 * `bounds.longestOrderMs` at most plus the wait for the weight store. With no holder, as in an
 * outage of the table, the effect lasts until there is one again. Each old holder has at most
 * one order under way, besides those that it had given up after their timeout.
 */
export class EngineTask {
  private busy = false;
  private fencing = 0;
  private firstOrderAt = 0;
  private withheld = "";

  private constructor(private readonly parts: EngineTaskParts) {}

  static create(parts: EngineTaskParts): EngineTask {
    return new EngineTask(parts);
  }

  /** Reads the engine's state back and sends the orders that the wanted state lacks; never throws. */
  async turn(
    engine: Upstream,
    wanted: readonly string[],
    lease: Lease,
    configuration: Configuration,
  ): Promise<void> {
    if (this.busy || lease.remainingMs === 0) return;
    this.busy = true;
    try {
      this.noteTerm(engine, lease);
      const orders = await this.lacking(engine, wanted);
      if (orders.some((order) => this.isWithheld(engine, order))) return;
      // The store's turn is awaited before anything is unloaded to make room.
      for (const order of orders) await this.reserve(order, configuration);
      for (const order of orders) await this.send(engine, order, lease);
    } catch {
      // The engine did not answer or the lease ran out; the next turn reads again.
    } finally {
      this.busy = false;
    }
  }

  private noteTerm(engine: Upstream, lease: Lease): void {
    const fencing = lease.fencing();
    if (fencing === this.fencing) return;
    this.fencing = fencing;
    // The first holder of all follows nobody.
    const wait = engine.checksFencing || fencing === 1 ? 0 : this.longestMs;
    this.firstOrderAt = this.parts.timers.now() + wait;
  }

  private get longestMs(): number {
    return this.parts.settings.bounds.longestOrderMs;
  }

  private async lacking(engine: Upstream, wanted: readonly string[]): Promise<EngineOrder[]> {
    const held = await this.within(READ_MS, (signal) =>
      this.parts.engineModels.loadedModels(engine.address, signal),
    );
    const extra = held.filter((model) => engine.models?.includes(model) && !wanted.includes(model));
    const missing = wanted.filter((model) => !held.includes(model));
    return [
      ...extra.map((model) => ({ kind: "unload", model }) as const),
      ...missing.map((model) => ({ kind: "load", model }) as const),
    ];
  }

  private async send(engine: Upstream, order: EngineOrder, lease: Lease): Promise<void> {
    const { timers, settings, engineModels } = this.parts;
    const term = this.fencing;
    let sentAt: number | undefined;
    const permit = (): OrderPermit => {
      const fencing = lease.fencing();
      if (fencing !== term) throw ServeError.create(ErrorKind.LeaseLost, "the lease was lost");
      sentAt = timers.now();
      return engine.checksIssuer && settings.orders !== undefined
        ? { fencing, issuer: settings.orders }
        : { fencing };
    };
    try {
      await this.within(this.longestMs, (signal) =>
        engineModels.sendOrder(engine.address, order, permit, signal),
      );
      this.write(engine, order, true, "the wanted state differs");
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.UpstreamFailed);
      this.write(engine, order, sentAt !== undefined, `${failure.kind}: ${failure.message}`);
      if (failure.kind === ErrorKind.OrderRefused) lease.drop();
      // The order may still be carried out, and another one must not overtake it.
      if (failure.kind === ErrorKind.UpstreamFailed && sentAt !== undefined) {
        this.firstOrderAt = sentAt + this.longestMs;
      }
      throw failure;
    }
  }

  private async reserve(order: EngineOrder, configuration: Configuration): Promise<void> {
    if (order.kind === "unload") return;
    const model = configuration.document.models.find(({ name }) => name === order.model);
    await this.within(this.longestMs, (signal) =>
      Promise.resolve(this.parts.weightStore?.reserve(order.model, model?.bytes ?? 0, signal)),
    );
  }

  private async within<Result>(
    ms: number,
    work: (signal: AbortSignal) => Promise<Result>,
  ): Promise<Result> {
    const stop = new AbortController();
    const timeout = this.parts.timers.after(ms, () => {
      stop.abort(ServeError.create(ErrorKind.UpstreamFailed, `no answer within ${ms} ms`));
    });
    try {
      return await work(stop.signal);
    } finally {
      timeout.cancel();
    }
  }

  /** Writes a line for an order that is held back, once for each term and reason. */
  private isWithheld(engine: Upstream, order: EngineOrder): boolean {
    const reason = this.obstacle(engine);
    const key = `${this.fencing} ${order.kind} ${order.model} ${reason}`;
    if (reason !== "" && key !== this.withheld) this.write(engine, order, false, reason);
    this.withheld = key;
    return reason !== "";
  }

  private obstacle(engine: Upstream): string {
    const { timers, settings } = this.parts;
    if (timers.now() < this.firstOrderAt) return "an earlier order may be under way";
    const unnamed = engine.checksIssuer && settings.orders === undefined;
    return unnamed ? "the settings name no issuer" : "";
  }

  private write(engine: Upstream, order: EngineOrder, sent: boolean, reason: string): void {
    const { decisionLog } = this.parts;
    const text = `${order.kind} ${order.model}`;
    decisionLog.write({ kind: "place", upstream: engine.id, order: text, sent, reason });
  }
}
