/** A rate over a shorter period reflects single arrivals rather than the demand. */
const MIN_RATE_PERIOD_MS = 250;

/** A sum whose addends decay exponentially with age. */
export class DecayedSum {
  private value = 0;
  private updated: number;

  private constructor(
    private readonly windowMs: number,
    private readonly started: number,
  ) {
    this.updated = started;
  }

  /** Starts an empty sum at time `now`. */
  static create(windowMs: number, now: number): DecayedSum {
    return new DecayedSum(windowMs, now);
  }

  add(amount: number, now: number): void {
    this.value = this.valueAt(now) + amount;
    this.updated = now;
  }

  /** Mean amount per ms; a sum younger than its window is divided by the elapsed part of it. */
  rate(now: number): number {
    const seen = -this.windowMs * Math.expm1((this.started - now) / this.windowMs);
    return this.valueAt(now) / Math.max(MIN_RATE_PERIOD_MS, seen);
  }

  /** The sum at time `now`. */
  valueAt(now: number): number {
    return this.value * Math.exp((this.updated - now) / this.windowMs);
  }
}
