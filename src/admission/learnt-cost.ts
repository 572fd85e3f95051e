const WEIGHT = 0.05;
const FIRST_SAMPLES = 20;

/** Relation of measured service time to the estimate that came with the work. */
export class LearntCost {
  private mean = 1;
  private deviation = 0;
  private samples = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): LearntCost {
    return new LearntCost();
  }

  /** Expected service time of work with the given estimate, in ms. */
  expected(costMs: number): number {
    return costMs * this.mean;
  }

  /** Service time that most such work stays below, in ms. */
  cautious(costMs: number): number {
    return costMs * (this.mean + 2 * this.deviation);
  }

  learn(costMs: number, durationMs: number): void {
    if (costMs <= 0) return;
    const ratio = durationMs / costMs;
    this.samples += 1;
    // The first samples count fully, so that a wrong initial estimate is forgotten at once.
    const weight = Math.max(WEIGHT, this.samples <= FIRST_SAMPLES ? 1 / this.samples : 0);
    this.deviation +=
      weight * (Math.abs(ratio - this.mean) * (this.samples > 1 ? 1 : 0) - this.deviation);
    this.mean += weight * (ratio - this.mean);
  }
}
