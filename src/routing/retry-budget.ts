import type { Timers } from "../time/timers.js";

/** Kept below 10% so that the initial allowance does not lift a full outage above 10%. */
const SHARE = 0.09;
/** Least retries per ms while first attempts are rare: one in 5 s. */
const LEAST_RATE = 0.0002;
const INITIAL = 3;
const MOST = 10;

/** Limits further attempts to a share of first attempts, so that an outage adds little load. */
export class RetryBudget {
  private allowance = INITIAL;
  private lastFirst: number;

  private constructor(private readonly timers: Timers) {
    this.lastFirst = timers.now();
  }

  static create(parts: { readonly timers: Timers }): RetryBudget {
    return new RetryBudget(parts.timers);
  }

  /** Records a first attempt of a stage. */
  recordFirstAttempt(): void {
    const now = this.timers.now();
    const earned = Math.max(SHARE, LEAST_RATE * (now - this.lastFirst));
    this.allowance = Math.min(MOST, this.allowance + earned);
    this.lastFirst = now;
  }

  /** Takes one further attempt from the budget; returns false if it is spent. */
  takeRetry(): boolean {
    if (this.allowance < 1) return false;
    this.allowance -= 1;
    return true;
  }
}
