/** A sum whose parts lose weight exponentially with age. */
export class DecayedSum {
  private value = 0;
  private updated = 0;

  private constructor(private readonly windowMs: number) {}

  static create(windowMs: number): DecayedSum {
    return new DecayedSum(windowMs);
  }

  add(amount: number, now: number): void {
    this.value = this.at(now) + amount;
    this.updated = now;
  }

  /** The sum at time `now`; divided by the window it is a rate per ms. */
  at(now: number): number {
    return this.value * Math.exp((this.updated - now) / this.windowMs);
  }
}
