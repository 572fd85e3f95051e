const LEAST_PART = 0.25;
const DECREASE = 0.9;
const INCREASE = 0.02;
const RECENT_WEIGHT = 0.1;
const BEST_DRIFT = 0.002;
/** Latency above this multiple of the best one shows queueing at the upstream. */
const CONGESTED = 2;

/** The number of requests that one upstream runs well, adapted to measured latency. */
export class ConcurrencyLimit {
  private limit: number;
  private best: number | undefined;
  private recent: number | undefined;

  private constructor(private readonly slots: number) {
    this.limit = slots;
  }

  static create(slots: number): ConcurrencyLimit {
    return new ConcurrencyLimit(slots);
  }

  get value(): number {
    return this.limit;
  }

  /** Takes a measured service time as a multiple of its estimate. */
  observe(ratio: number): void {
    this.recent =
      this.recent === undefined ? ratio : this.recent + RECENT_WEIGHT * (ratio - this.recent);
    // The best latency drifts upward, so that a lasting change of the service is accepted.
    const best = this.best === undefined ? this.recent : this.best * (1 + BEST_DRIFT);
    this.best = Math.min(best, this.recent);
    if (this.recent > CONGESTED * this.best) {
      this.limit = Math.max(this.slots * LEAST_PART, this.limit * DECREASE);
      // The average starts over after a decrease: one burst counts once.
      this.recent = CONGESTED * this.best;
    } else {
      this.limit = Math.min(this.slots, this.limit + INCREASE * this.slots);
    }
  }
}
