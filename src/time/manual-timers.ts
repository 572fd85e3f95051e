import { setImmediate as yieldToTasks } from "node:timers/promises";
import TinyQueue from "tinyqueue";
import type { Subscription } from "./subscription.js";
import type { Timers } from "./timers.js";

interface Entry {
  readonly due: number;
  readonly order: number;
  handler: (() => void) | undefined;
}

/** Timers whose clock moves only when a test or benchmark advances it. */
export class ManualTimers implements Timers {
  private current = 0;
  private nextOrder = 0;
  private readonly queue = new TinyQueue<Entry>([], (a, b) => a.due - b.due || a.order - b.order);

  private constructor(private readonly epochMs: number) {}

  static create(epochMs = 0): ManualTimers {
    return new ManualTimers(epochMs);
  }

  now(): number {
    return this.current;
  }

  wallClock(): number {
    return this.epochMs + this.current;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const abort = (): void => {
        subscription.cancel();
        reject(signal?.reason as Error);
      };
      const subscription = this.after(ms, () => {
        signal?.removeEventListener("abort", abort);
        resolve();
      });
      if (signal?.aborted === true) abort();
      else signal?.addEventListener("abort", abort, { once: true });
    });
  }

  after(ms: number, handler: () => void): Subscription {
    const entry: Entry = { due: this.current + Math.max(0, ms), order: this.nextOrder++, handler };
    this.queue.push(entry);
    return {
      cancel: () => {
        entry.handler = undefined;
      },
    };
  }

  every(ms: number, handler: () => void): Subscription {
    let stopped = false;
    const run = (): void => {
      handler();
      if (!stopped) inner = this.after(ms, run);
    };
    let inner = this.after(ms, run);
    return {
      cancel: () => {
        stopped = true;
        inner.cancel();
      },
    };
  }

  /** Moves the clock by `ms`, running due handlers in order and the tasks that they wake. */
  async advance(ms: number): Promise<void> {
    const end = this.current + ms;
    await yieldToTasks();
    for (
      let next = this.queue.peek();
      next !== undefined && next.due <= end;
      next = this.queue.peek()
    ) {
      this.queue.pop();
      if (next.handler === undefined) continue;
      this.current = Math.max(this.current, next.due);
      next.handler();
      await yieldToTasks();
    }
    this.current = end;
  }
}
