import type { ManualTimers } from "../src/time/manual-timers.js";
import type { Subscription } from "../src/time/subscription.js";
import type { Timers } from "../src/time/timers.js";

/** Timers of one of several members on a shared clock; a frozen member's timers fire on thawing. */
export class FreezableTimers implements Timers {
  private frozen = false;
  private readonly held: (() => void)[] = [];

  private constructor(private readonly clock: ManualTimers) {}

  static create(clock: ManualTimers): FreezableTimers {
    return new FreezableTimers(clock);
  }

  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    this.frozen = false;
    for (const handler of this.held.splice(0)) handler();
  }

  now(): number {
    return this.clock.now();
  }

  wallClock(): number {
    return this.clock.wallClock();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(ms, signal);
    if (this.frozen) await new Promise<void>((resolve) => this.held.push(resolve));
  }

  after(ms: number, handler: () => void): Subscription {
    return this.clock.after(ms, () => {
      this.fire(handler);
    });
  }

  every(ms: number, handler: () => void): Subscription {
    return this.clock.every(ms, () => {
      this.fire(handler);
    });
  }

  private fire(handler: () => void): void {
    if (!this.frozen) handler();
    else if (!this.held.includes(handler)) this.held.push(handler);
  }
}
