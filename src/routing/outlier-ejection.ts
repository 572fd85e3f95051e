import type { UpstreamRecord } from "./upstream-record.js";

const MAX_EJECTED_SHARE = 1 / 3;
const EJECTION_FAILURES = 2;
const MIN_SAMPLES = 3;
/** Service time, as a multiple of the median, beyond which an upstream is a straggler. */
const STRAGGLER_RATIO = 2.5;
/** The median is taken over at most about this many upstreams, evenly spread over the service. */
const MAX_MEDIAN_SAMPLES = 64;
const MIN_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 16_000;

/** Ejects slow and failing upstreams from routing, at most a third of a service. */
export class OutlierEjection {
  private constructor(private readonly records: () => readonly UpstreamRecord[]) {}

  static create(records: () => readonly UpstreamRecord[]): OutlierEjection {
    return new OutlierEjection(records);
  }

  /** Updates the ejection state after a result; returns whether it changed. */
  applyResult(record: UpstreamRecord, succeeded: boolean, ratio: number, now: number): boolean {
    const { ejectionState } = record;
    switch (ejectionState.kind) {
      case "eligible":
        if (!this.isOutlier(record) || !this.mayEject()) return false;
        record.ejectionState = {
          kind: "ejected",
          until: now + MIN_EJECTION_MS,
          periodMs: MIN_EJECTION_MS,
        };
        return true;
      case "probing":
        if (succeeded && ratio < STRAGGLER_RATIO * this.median(record)) {
          record.ejectionState = { kind: "eligible" };
          record.resetStatistics(now);
        } else {
          const periodMs = Math.min(2 * ejectionState.periodMs, MAX_EJECTION_MS);
          record.ejectionState = { kind: "ejected", until: now + periodMs, periodMs };
        }
        return true;
      case "ejected":
        // The result belongs to an attempt that was sent before the ejection.
        return false;
    }
  }

  /** The first of `ejected` that is reachable, past its ejection period and idle. */
  nextProbe(ejected: readonly UpstreamRecord[], now: number): UpstreamRecord | undefined {
    return ejected.find(
      ({ ejectionState, inFlight, reachable }) =>
        ejectionState.kind === "ejected" &&
        ejectionState.until <= now &&
        inFlight === 0 &&
        reachable,
    );
  }

  private isOutlier(record: UpstreamRecord): boolean {
    if (record.consecutiveFailures >= EJECTION_FAILURES) return true;
    return record.samples >= MIN_SAMPLES && record.ratio > STRAGGLER_RATIO * this.median(record);
  }

  private mayEject(): boolean {
    const records = this.records();
    const ejected = records.filter(({ ejectionState }) => ejectionState.kind !== "eligible").length;
    return ejected + 1 <= Math.floor(records.length * MAX_EJECTED_SHARE);
  }

  private median(except: UpstreamRecord): number {
    const records = this.records();
    const step = Math.ceil(records.length / MAX_MEDIAN_SAMPLES);
    const ratios = records
      .filter((_, at) => at % step === 0)
      .filter((record) => record !== except && record.samples > 0)
      .map(({ ratio: ratio }) => ratio)
      .sort((a, b) => a - b);
    return ratios[Math.floor(ratios.length / 2)] ?? 1;
  }
}
