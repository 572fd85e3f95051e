import type { UpstreamRecord } from "./upstream-record.js";

const MOST_EJECTED = 1 / 3;
const FAILURES = 2;
const LEAST_SAMPLES = 3;
/** Service time, as a multiple of the median, beyond which an upstream is a straggler. */
const STRAGGLER = 2.5;
/** Upstreams that a median is taken over, evenly spread over the service. */
const MOST_COMPARED = 64;
const FIRST_PERIOD_MS = 1_000;
const LONGEST_PERIOD_MS = 16_000;

/** Takes stragglers and failing upstreams out of routing, at most a third of a service. */
export class OutlierEjection {
  private constructor(private readonly records: () => readonly UpstreamRecord[]) {}

  static create(records: () => readonly UpstreamRecord[]): OutlierEjection {
    return new OutlierEjection(records);
  }

  /** Judges an upstream after a result; returns whether its standing changed. */
  judge(record: UpstreamRecord, succeeded: boolean, ratio: number, now: number): boolean {
    const { ejectionState } = record;
    switch (ejectionState.kind) {
      case "eligible":
        if (!this.outlier(record) || !this.mayEject()) return false;
        record.ejectionState = {
          kind: "ejected",
          until: now + FIRST_PERIOD_MS,
          periodMs: FIRST_PERIOD_MS,
        };
        return true;
      case "probing":
        if (succeeded && ratio < STRAGGLER * this.median(record)) {
          record.ejectionState = { kind: "eligible" };
          record.restart(now);
        } else {
          const periodMs = Math.min(2 * ejectionState.periodMs, LONGEST_PERIOD_MS);
          record.ejectionState = { kind: "ejected", until: now + periodMs, periodMs };
        }
        return true;
      case "ejected":
        // The result belongs to an attempt that was sent before the ejection.
        return false;
    }
  }

  /** The first of `out` whose ejection is over and that has no probe in flight. */
  due(out: readonly UpstreamRecord[], now: number): UpstreamRecord | undefined {
    return out.find(
      ({ ejectionState, inFlight, reachable }) =>
        ejectionState.kind === "ejected" &&
        ejectionState.until <= now &&
        inFlight === 0 &&
        reachable,
    );
  }

  private outlier(record: UpstreamRecord): boolean {
    if (record.consecutiveFailures >= FAILURES) return true;
    return record.samples >= LEAST_SAMPLES && record.ratio > STRAGGLER * this.median(record);
  }

  private mayEject(): boolean {
    const records = this.records();
    const out = records.filter(({ ejectionState }) => ejectionState.kind !== "eligible").length;
    return out + 1 <= Math.floor(records.length * MOST_EJECTED);
  }

  private median(except: UpstreamRecord): number {
    const records = this.records();
    const step = Math.ceil(records.length / MOST_COMPARED);
    const ratios = records
      .filter((_, at) => at % step === 0)
      .filter((record) => record !== except && record.samples > 0)
      .map(({ ratio }) => ratio)
      .sort((a, b) => a - b);
    return ratios[Math.floor(ratios.length / 2)] ?? 1;
  }
}
