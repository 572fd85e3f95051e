import type { Timers } from "../time/timers.js";

/** Time for which an instance is avoided after a failure: one heartbeat between daemons. */
const AVOIDANCE_MS = 2_000;

/** Instances that failed to answer recently and are not chosen for a short time. */
export class AvoidedInstances {
  private readonly untilMs = new Map<string, number>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): AvoidedInstances {
    return new AvoidedInstances(timers);
  }

  /** Records that an instance did not answer. */
  add(instance: string): void {
    this.untilMs.set(instance, this.timers.now() + AVOIDANCE_MS);
  }

  /** Whether an instance should not be chosen now. */
  has(instance: string): boolean {
    return (this.untilMs.get(instance) ?? -Infinity) > this.timers.now();
  }
}
