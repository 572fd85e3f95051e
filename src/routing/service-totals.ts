import type { UpstreamRecord } from "./upstream-record.js";

/** Time for which totals are reused, in ms; limits and reports change more slowly. */
const REUSED_MS = 20;

/** Totals over the eligible upstreams of a service. */
export class ServiceTotals {
  private records: readonly UpstreamRecord[] = [];
  private taken = Number.NEGATIVE_INFINITY;
  private slots = 0;
  private mean = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): ServiceTotals {
    return new ServiceTotals();
  }

  /** Replaces the upstreams that are counted. */
  take(records: readonly UpstreamRecord[]): void {
    this.records = records;
    this.taken = Number.NEGATIVE_INFINITY;
  }

  /** Requests that the upstreams may run at once, for all instances together. */
  capacity(now: number): number {
    this.sum(now);
    return this.slots;
  }

  /** Mean work of other instances in the last reports of the upstreams. */
  meanOthers(now: number): number {
    this.sum(now);
    return this.mean;
  }

  private sum(now: number): void {
    if (now - this.taken < REUSED_MS) return;
    this.taken = now;
    this.slots = 0;
    let others = 0;
    for (const record of this.records) {
      this.slots += record.capacity(now);
      others += record.reportedLoad.last ?? 0;
    }
    this.mean = this.records.length === 0 ? 0 : others / this.records.length;
  }
}
