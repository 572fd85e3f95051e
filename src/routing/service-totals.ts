import type { UpstreamRecord } from "./upstream-record.js";

/** Totals are recomputed after this time; limits and reports change more slowly. */
const CACHE_TTL_MS = 20;

/** Totals over the eligible upstreams of a service. */
export class ServiceTotals {
  private records: readonly UpstreamRecord[] = [];
  private computedAt = Number.NEGATIVE_INFINITY;
  private totalCapacity = 0;
  private meanFromOthers = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): ServiceTotals {
    return new ServiceTotals();
  }

  /** Replaces the upstreams that are counted. */
  setRecords(records: readonly UpstreamRecord[]): void {
    this.records = records;
    this.computedAt = Number.NEGATIVE_INFINITY;
  }

  /** Requests that the upstreams may run at once, for all instances together. */
  capacity(now: number): number {
    this.refresh(now);
    return this.totalCapacity;
  }

  /** Mean work of other instances in the last reports of the upstreams. */
  meanOthers(now: number): number {
    this.refresh(now);
    return this.meanFromOthers;
  }

  private refresh(now: number): void {
    if (now - this.computedAt < CACHE_TTL_MS) return;
    this.computedAt = now;
    this.totalCapacity = 0;
    let others = 0;
    for (const record of this.records) {
      this.totalCapacity += record.capacity(now);
      others += record.reportedLoad.lastFromOthers ?? 0;
    }
    this.meanFromOthers = this.records.length === 0 ? 0 : others / this.records.length;
  }
}
