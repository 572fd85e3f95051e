import type { Timers } from "../time/timers.js";

/** A value that is computed at most once in some time, as many ask for it. */
export class RecentValue<Value> {
  private known: { readonly value: Value; readonly atMs: number } | undefined;

  private constructor(
    private readonly timers: Timers,
    private readonly lifetimeMs: number,
    private readonly compute: () => Value,
  ) {}

  static create<Value>(
    timers: Timers,
    lifetimeMs: number,
    compute: () => Value,
  ): RecentValue<Value> {
    return new RecentValue(timers, lifetimeMs, compute);
  }

  get(): Value {
    const now = this.timers.now();
    if (this.known === undefined || now - this.known.atMs >= this.lifetimeMs)
      this.known = { value: this.compute(), atMs: now };
    return this.known.value;
  }
}
