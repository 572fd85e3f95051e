import { setTimeout as delay } from "node:timers/promises";
import type { Subscription } from "./subscription.js";
import type { Timers } from "./timers.js";

/** Timers on the clock of the process. */
export class SystemTimers implements Timers {
  private constructor() {
    // Instances come from `create`.
  }

  static create(): SystemTimers {
    return new SystemTimers();
  }

  now(): number {
    return performance.now();
  }

  wallClock(): number {
    return Date.now();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    try {
      await delay(ms, undefined, signal === undefined ? {} : { signal });
    } catch (error) {
      throw signal?.aborted === true ? (signal.reason as Error) : error;
    }
  }

  after(ms: number, handler: () => void): Subscription {
    const timer = setTimeout(handler, ms);
    return {
      cancel: () => {
        clearTimeout(timer);
      },
    };
  }

  every(ms: number, handler: () => void): Subscription {
    const timer = setInterval(handler, ms);
    return {
      cancel: () => {
        clearInterval(timer);
      },
    };
  }
}
