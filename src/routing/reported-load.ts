/** Time constant of the exponential decay from the last report to the mean of the service. */
const TRUST_DECAY_MS = 1_000;

/** The load that an upstream last reported, less this instance's own requests. */
export class ReportedLoad {
  private lastReport: number | undefined;
  private fromOthers = 0;
  private changedAt = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): ReportedLoad {
    return new ReportedLoad();
  }

  /**
   * Records a report. An upstream that rarely updates its load repeats the last value; only a
   * changed value counts as new, because a report does not include its age.
   */
  recordReport(load: number, ownInFlight: number, now: number): void {
    if (load === this.lastReport) return;
    this.lastReport = load;
    this.fromOthers = Math.max(0, load - ownInFlight);
    this.changedAt = now;
  }

  /** Work of other instances in the last report; undefined before the first one. */
  get lastFromOthers(): number | undefined {
    return this.lastReport === undefined ? undefined : this.fromOthers;
  }

  /** Expected work of other instances now, given the mean over the service. */
  expected(mean: number, now: number): number {
    if (this.lastReport === undefined) return mean;
    const trust = Math.exp((this.changedAt - now) / TRUST_DECAY_MS);
    return trust * this.fromOthers + (1 - trust) * mean;
  }
}
