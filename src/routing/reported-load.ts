/** After this time a report says as much about the upstream as the mean of all reports. */
const TRUST_MS = 1_000;

/** The load that an upstream last reported, without this instance's own part. */
export class ReportedLoad {
  private value: number | undefined;
  private others = 0;
  private changed = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): ReportedLoad {
    return new ReportedLoad();
  }

  /**
   * Takes a report. An upstream that publishes rarely repeats its last value; only a changed value
   * counts as new, because the age of a report is not part of it.
   */
  take(load: number, ownInFlight: number, now: number): void {
    if (load === this.value) return;
    this.value = load;
    this.others = Math.max(0, load - ownInFlight);
    this.changed = now;
  }

  /** Work of other instances in the last report; undefined before the first one. */
  get last(): number | undefined {
    return this.value === undefined ? undefined : this.others;
  }

  /** Expected work of other instances now, given the mean over the service. */
  expected(mean: number, now: number): number {
    if (this.value === undefined) return mean;
    const trust = Math.exp((this.changed - now) / TRUST_MS);
    return trust * this.others + (1 - trust) * mean;
  }
}
