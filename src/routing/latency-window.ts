import { type Histogram, build } from "hdr-histogram-js";

const WINDOW_MS = 10_000;
const PERCENTILE = 95;
/** Fewer samples say little of the slowest twentieth. */
const LEAST_SAMPLES = 40;
const HIGHEST_MS = 120_000;

/** A high quantile of the latencies of the last one to two windows. */
export class LatencyWindow {
  private current = histogram();
  private last = histogram();
  private since: number;

  private constructor(now: number) {
    this.since = now;
  }

  static create(now: number): LatencyWindow {
    return new LatencyWindow(now);
  }

  record(ms: number, now: number): void {
    this.turn(now);
    this.current.recordValue(Math.min(HIGHEST_MS, Math.max(1, Math.round(ms))));
  }

  /** The quantile in ms; undefined while there are too few samples. */
  quantile(now: number): number | undefined {
    this.turn(now);
    const known = this.last.totalCount >= LEAST_SAMPLES ? this.last : this.current;
    return known.totalCount < LEAST_SAMPLES ? undefined : known.getValueAtPercentile(PERCENTILE);
  }

  private turn(now: number): void {
    if (now - this.since < WINDOW_MS) return;
    this.last = this.current;
    this.current = histogram();
    this.since = now;
  }
}

function histogram(): Histogram {
  return build({
    bitBucketSize: "packed",
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: 2,
  });
}
