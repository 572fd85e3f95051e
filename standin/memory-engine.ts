import { ErrorKind } from "../src/error/error-kind.js";
import { ServeError } from "../src/error/serve-error.js";
import type { Timers } from "../src/time/timers.js";
import type { EngineModels } from "../src/upstream/engine-models.js";
import type { EngineOrder } from "../src/upstream/engine-order.js";
import type { OrderPermit } from "../src/upstream/order-permit.js";

const ORDER_MS = 500;

/** An order that took effect. */
export interface Effect {
  readonly order: string;
  readonly fencing: number;
  readonly at: number;
}

/** A stand-in engine within a test, on the test's timers. */
export class MemoryEngine {
  readonly models = new Set<string>();
  readonly effects: Effect[] = [];
  /** Numbers of the orders that were sent. */
  readonly sent: number[] = [];
  /** Times until the next orders take effect, in ms. */
  readonly delays: number[] = [];
  /** Number of coming orders whose answer is lost. */
  loseAnswers = 0;
  /** Highest fencing number seen. */
  fencing = 0;

  private constructor(
    private readonly clock: Timers,
    private readonly checksFencing: boolean,
  ) {}

  static create(clock: Timers, checksFencing: boolean): MemoryEngine {
    return new MemoryEngine(clock, checksFencing);
  }

  /** The engine as seen by an instance with its own timers, which needs `connectMs` to connect. */
  seenBy(timers: Timers, connectMs: () => number): EngineModels {
    return {
      loadedModels: () => Promise.resolve([...this.models]),
      sendOrder: async (_address, order, permit, signal) => {
        await timers.sleep(connectMs(), signal);
        const carried = this.carryOut(order, permit());
        const aborted = new Promise<never>((_resolve, reject) => {
          signal.addEventListener("abort", () => {
            reject(signal.reason as Error);
          });
        });
        if (this.loseAnswers > 0) {
          this.loseAnswers -= 1;
          throw ServeError.create(ErrorKind.UpstreamFailed, "the connection broke");
        }
        await Promise.race([carried, aborted]);
      },
    };
  }

  private async carryOut(order: EngineOrder, { fencing }: OrderPermit): Promise<void> {
    this.sent.push(fencing);
    await this.clock.sleep(this.delays.shift() ?? ORDER_MS);
    if (this.checksFencing && fencing < this.fencing) {
      throw ServeError.create(ErrorKind.OrderRefused, "old number");
    }
    this.fencing = Math.max(this.fencing, fencing);
    if (order.kind === "load") this.models.add(order.model);
    else this.models.delete(order.model);
    const at = this.clock.now();
    this.effects.push({ order: `${order.kind} ${order.model}`, fencing, at });
  }
}
