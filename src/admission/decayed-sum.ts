/** A rate over less time says more about one arrival than about the demand. */
const LEAST_SEEN_MS = 250;

/** A sum whose parts lose weight exponentially with age. */
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
    this.value = this.at(now) + amount;
    this.updated = now;
  }

  /** Mean amount per ms; a sum younger than its window is divided by what it has seen of it. */
  rate(now: number): number {
    const seen = -this.windowMs * Math.expm1((this.started - now) / this.windowMs);
    return this.at(now) / Math.max(LEAST_SEEN_MS, seen);
  }

  /** The sum at time `now`. */
  at(now: number): number {
    return this.value * Math.exp((this.updated - now) / this.windowMs);
  }
}
