import { type Histogram, build } from "hdr-histogram-js";

const WINDOW_MS = 10_000;
const PERCENTILE = 95;
/** With fewer samples the 95th percentile is unreliable. */
const MIN_SAMPLES = 40;
const MAX_LATENCY_MS = 120_000;

/** The 95th percentile of latencies over the last one to two windows. */
export class LatencyWindow {
  private current = histogram();
  private previous = histogram();
  private windowStart: number;

  private constructor(now: number) {
    this.windowStart = now;
  }

  static create(now: number): LatencyWindow {
    return new LatencyWindow(now);
  }

  record(ms: number, now: number): void {
    this.rotate(now);
    this.current.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(ms))));
  }

  /** The quantile in ms; undefined while there are too few samples. */
  quantile(now: number): number | undefined {
    this.rotate(now);
    const known = this.previous.totalCount >= MIN_SAMPLES ? this.previous : this.current;
    return known.totalCount < MIN_SAMPLES ? undefined : known.getValueAtPercentile(PERCENTILE);
  }

  private rotate(now: number): void {
    if (now - this.windowStart < WINDOW_MS) return;
    this.previous = this.current;
    this.current = histogram();
    this.windowStart = now;
  }
}

function histogram(): Histogram {
  return build({
    bitBucketSize: "packed",
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: 2,
  });
}
