import type { Update } from "../../src/peer/update.js";
import { updateSchema } from "../../src/peer/update.js";
import type { Updates } from "../../src/peer/updates.js";
import type { Timers } from "../../src/time/timers.js";

const DELAY_MS = 10;

/** Delivers updates between the instances of one process, copied as JSON. */
export class MemoryUpdates {
  /** Number of published updates by kind. */
  readonly published = new Map<string, number>();
  private readonly handlers = new Map<string, ((update: Update) => void)[]>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): MemoryUpdates {
    return new MemoryUpdates(timers);
  }

  /** Ends the subscriptions of an instance. */
  forget(instance: string): void {
    this.handlers.delete(instance);
  }

  of(instance: string): Updates {
    const own = this.handlers.get(instance) ?? [];
    this.handlers.set(instance, own);
    return {
      publish: (update) => {
        this.published.set(update.kind, (this.published.get(update.kind) ?? 0) + 1);
        const copy = updateSchema.parse(JSON.parse(JSON.stringify(update)));
        const others = [...this.handlers.values()].filter((handlers) => handlers !== own);
        this.timers.after(DELAY_MS, () => {
          for (const handler of others.flat()) handler(copy);
        });
      },
      subscribe: (handler) => {
        own.push(handler);
        return { cancel: () => own.splice(own.indexOf(handler), 1) };
      },
    };
  }
}
