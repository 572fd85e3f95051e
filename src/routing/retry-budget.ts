import type { Timers } from "../time/timers.js";

/** Below 10%, so that retries stay under 10% in a full outage despite the initial allowance. */
const ALLOWANCE_PER_ATTEMPT = 0.09;
/** Minimum rate while first attempts are rare: one retry in 5 s. */
const MIN_RETRIES_PER_MS = 0.0002;
const INITIAL_ALLOWANCE = 3;
const MAX_ALLOWANCE = 10;

/** Limits retries to a share of first attempts, so that an outage adds little load. */
export class RetryBudget {
  private allowance = INITIAL_ALLOWANCE;
  private lastFirstAttemptAt: number;

  private constructor(private readonly timers: Timers) {
    this.lastFirstAttemptAt = timers.now();
  }

  static create(parts: { readonly timers: Timers }): RetryBudget {
    return new RetryBudget(parts.timers);
  }

  /** Records a first attempt of a stage. */
  recordFirstAttempt(): void {
    const now = this.timers.now();
    const earned = Math.max(
      ALLOWANCE_PER_ATTEMPT,
      MIN_RETRIES_PER_MS * (now - this.lastFirstAttemptAt),
    );
    this.allowance = Math.min(MAX_ALLOWANCE, this.allowance + earned);
    this.lastFirstAttemptAt = now;
  }

  /** Takes one retry from the budget; returns false if it is spent. */
  takeRetry(): boolean {
    if (this.allowance < 1) return false;
    this.allowance -= 1;
    return true;
  }
}
