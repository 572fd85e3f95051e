const SAMPLE_WEIGHT = 0.05;
const WARM_UP_SAMPLES = 20;

/** Learns the ratio of measured service times to the estimates that come with the work. */
export class ServiceTimeEstimator {
  private mean = 1;
  private deviation = 0;
  private samples = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): ServiceTimeEstimator {
    return new ServiceTimeEstimator();
  }

  /** Expected service time of work with the given estimate, in ms. */
  expected(costMs: number): number {
    return costMs * this.mean;
  }

  /** Mean plus two mean deviations of the service time of such work, in ms. */
  upperBound(costMs: number): number {
    return costMs * (this.mean + 2 * this.deviation);
  }

  learn(costMs: number, durationMs: number): void {
    if (costMs <= 0) return;
    const ratio = durationMs / costMs;
    this.samples += 1;
    // The first samples count fully, so that a wrong initial estimate is corrected quickly.
    const weight = Math.max(SAMPLE_WEIGHT, this.samples <= WARM_UP_SAMPLES ? 1 / this.samples : 0);
    this.deviation +=
      weight * (Math.abs(ratio - this.mean) * (this.samples > 1 ? 1 : 0) - this.deviation);
    this.mean += weight * (ratio - this.mean);
  }
}
