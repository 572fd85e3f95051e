import type { Timers } from "../time/timers.js";

/** Time for which an instance that did not answer is passed over: one heartbeat between daemons. */
const DISTRUST_MS = 2_000;

/** Instances that did not answer lately. */
export class Distrust {
  private readonly untilMs = new Map<string, number>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): Distrust {
    return new Distrust(timers);
  }

  /** Notes that an instance did not answer. */
  add(instance: string): void {
    this.untilMs.set(instance, this.timers.now() + DISTRUST_MS);
  }

  /** Whether an instance should be passed over. */
  has(instance: string): boolean {
    return (this.untilMs.get(instance) ?? -Infinity) > this.timers.now();
  }
}
