import { ConcurrencyLimit } from "../admission/concurrency-limit.js";
import type { Upstream } from "../configuration/configuration-document.js";
import { ReportedLoad } from "./reported-load.js";
import type { EjectionState } from "./ejection-state.js";

/** Weight of a sample in the mean ratio; the first samples weigh more. */
const MIN_RATIO_WEIGHT = 0.3;
/** Weight of an attempt in the mean share of successes. */
const SUCCESS_WEIGHT = 0.5;
const RAMP_DURATION_MS = 5_000;
const MIN_RAMP_SHARE = 0.1;

interface RunningAttempt {
  readonly startedAt: number;
  readonly costMs: number;
}

/** State of one upstream from the attempts of this instance and from load reports. */
export class UpstreamRecord {
  ejectionState: EjectionState = { kind: "eligible" };
  /** Whether an exclusive attempt runs or waits to run alone here. */
  reserved = false;
  /** Whether the last poll of its load succeeded. */
  reachable = true;
  /** Monotonic time in ms of the last attempt that this instance sent. */
  lastUsedAt = Number.NEGATIVE_INFINITY;
  readonly limit: ConcurrencyLimit;
  readonly reportedLoad = ReportedLoad.create();
  /** Attempts in flight in the order of their start. */
  private readonly running = new Set<RunningAttempt>();
  private meanRatio = 1;
  private sampleCount = 0;
  private meanSuccess = 1;
  private failureStreak = 0;

  private constructor(
    readonly upstream: Upstream,
    private rampStart: number,
  ) {
    this.limit = ConcurrencyLimit.create(upstream.slots);
  }

  /** `rampStart` is the monotonic time in ms at which a slow start begins; minus infinity for none. */
  static create(upstream: Upstream, rampStart: number): UpstreamRecord {
    return new UpstreamRecord(upstream, rampStart);
  }

  /** Attempts of this instance that are in flight. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Counts an attempt until the returned function is called. */
  beginAttempt(costMs: number, now: number): () => void {
    const attempt = { startedAt: now, costMs };
    this.running.add(attempt);
    this.lastUsedAt = now;
    return () => {
      this.running.delete(attempt);
    };
  }

  /** Age of the oldest attempt in flight, as a multiple of its estimated service time. */
  overdueRatio(now: number): number {
    const [oldest] = this.running;
    return oldest === undefined || oldest.costMs <= 0
      ? 0
      : (now - oldest.startedAt) / oldest.costMs;
  }

  /** Mean ratio of the service time to its estimate for the service. */
  get ratio(): number {
    return this.meanRatio;
  }

  get samples(): number {
    return this.sampleCount;
  }

  get successShare(): number {
    return this.meanSuccess;
  }

  get consecutiveFailures(): number {
    return this.failureStreak;
  }

  recordSuccess(ratio: number): void {
    this.sampleCount += 1;
    this.failureStreak = 0;
    this.meanSuccess += SUCCESS_WEIGHT * (1 - this.meanSuccess);
    this.meanRatio += Math.max(MIN_RATIO_WEIGHT, 1 / this.sampleCount) * (ratio - this.meanRatio);
  }

  recordFailure(): void {
    this.failureStreak += 1;
    this.meanSuccess -= SUCCESS_WEIGHT * this.meanSuccess;
  }

  /** Resets the statistics and begins a slow start. */
  resetStatistics(now: number): void {
    this.rampStart = now;
    this.meanRatio = 1;
    this.sampleCount = 0;
    this.meanSuccess = 1;
    this.failureStreak = 0;
  }

  /** Share of its normal traffic that the upstream may get during a slow start, in (0, 1]. */
  rampShare(now: number): number {
    return Math.min(1, Math.max(MIN_RAMP_SHARE, (now - this.rampStart) / RAMP_DURATION_MS));
  }

  /** Requests that the upstream may run at once, for all instances together. */
  capacity(now: number): number {
    return this.limit.value * this.rampShare(now);
  }
}
