const MIN_LIMIT_FRACTION = 0.25;
const DECREASE_FACTOR = 0.9;
const INCREASE_FRACTION = 0.02;
const RECENT_RATIO_WEIGHT = 0.1;
const BEST_RATIO_DRIFT = 0.002;
/** A latency above this multiple of the best one indicates queueing at the upstream. */
const CONGESTION_FACTOR = 2;

/** Adaptive limit of concurrent requests to one upstream, driven by measured latency. */
export class ConcurrencyLimit {
  private limit: number;
  private bestRatio: number | undefined;
  private recentRatio: number | undefined;

  private constructor(private readonly slots: number) {
    this.limit = slots;
  }

  static create(slots: number): ConcurrencyLimit {
    return new ConcurrencyLimit(slots);
  }

  get value(): number {
    return this.limit;
  }

  /** Adjusts the limit by a measured service time, given as a multiple of its estimate. */
  observe(ratio: number): void {
    this.recentRatio =
      this.recentRatio === undefined
        ? ratio
        : this.recentRatio + RECENT_RATIO_WEIGHT * (ratio - this.recentRatio);
    // The best latency drifts upward, so that a lasting change of the service is accepted.
    const best =
      this.bestRatio === undefined ? this.recentRatio : this.bestRatio * (1 + BEST_RATIO_DRIFT);
    this.bestRatio = Math.min(best, this.recentRatio);
    if (this.recentRatio > CONGESTION_FACTOR * this.bestRatio) {
      this.limit = Math.max(this.slots * MIN_LIMIT_FRACTION, this.limit * DECREASE_FACTOR);
      // The average starts over after a decrease: one burst counts once.
      this.recentRatio = CONGESTION_FACTOR * this.bestRatio;
    } else {
      this.limit = Math.min(this.slots, this.limit + INCREASE_FRACTION * this.slots);
    }
  }
}
