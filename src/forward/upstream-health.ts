import type { Timers } from "../time/timers.js";
import type { ResponseAttributes } from "./response-attributes.js";
import type { StatedLimit } from "../limit/stated-limit.js";

/** Backoff after the first failure to reach an upstream; doubled by each further failure. */
const INITIAL_BACKOFF_MS = 500;
/** Crashed upstreams have restarted or are no longer listed after a few seconds. */
const MAX_BACKOFF_MS = 4_000;
/** Weight of the newest result in the moving averages; the last four results dominate. */
const SMOOTHING_FACTOR = 0.25;
/** Share of the mean latency below which a single result replaces the mean. */
const RECOVERY_RATIO = 0.5;
/** Failure rate from which an upstream counts as failing. */
const MIN_FAILING_RATE = 0.3;
/** Results needed before the failure rate is used. */
const MIN_RESULTS = 3;
/** Time after which a failing upstream gets a probe request. */
const PROBE_INTERVAL_MS = 2_000;
/** Time without results after which earlier results are discarded. */
const RESULT_LIFETIME_MS = 10_000;

/** Health of one upstream as observed by this instance's own attempts. */
export class UpstreamHealth {
  /** Attempts of this instance that are in progress. */
  inFlight = 0;
  /** Undefined while the upstream states no limit. */
  statedLimit: StatedLimit | undefined;
  private backoffUntilMs = -Infinity;
  private lastBackoffEndMs = -Infinity;
  private lastUnreachableMs = -Infinity;
  private backoffMs = INITIAL_BACKOFF_MS;
  private unavailableUntilMs = -Infinity;
  private meanFailureRate = 0;
  private resultCount = 0;
  private meanLatencyRatio: number | undefined;
  private lastResultMs = -Infinity;
  private lastProbeMs = -Infinity;

  private constructor(
    private readonly timers: Timers,
    readonly startedMs: number,
  ) {}

  /** `startedMs` is the start of the upstream's process in ms since the epoch. */
  static create(timers: Timers, startedMs: number): UpstreamHealth {
    return new UpstreamHealth(timers, startedMs);
  }

  /** Mean latency as a multiple of the expected one; undefined without recent results. */
  get latencyRatio(): number | undefined {
    return this.hasRecentResults ? this.meanLatencyRatio : undefined;
  }

  /** Moving average of the failure rate; 0 without enough recent results. */
  get failureRate(): number {
    return this.hasRecentResults && this.resultCount >= MIN_RESULTS ? this.meanFailureRate : 0;
  }

  /** Whether the backoff after a failure to reach the upstream is still running. */
  get backingOff(): boolean {
    return this.timers.now() < this.backoffUntilMs;
  }

  /** End of the last backoff on the monotonic clock in ms, also if a response ended it earlier. */
  get backedOffUntilMs(): number {
    return this.lastBackoffEndMs;
  }

  /** Time of the last failure to reach the upstream, on the monotonic clock in ms. */
  get unreachableMs(): number {
    return this.lastUnreachableMs;
  }

  /** Whether the upstream accepts no new work: it is leaving, or asked for a pause. */
  get unavailable(): boolean {
    return this.availableInMs > 0;
  }

  /** Time until the upstream accepts new work, in ms; infinite if it is leaving. */
  get availableInMs(): number {
    return Math.max(0, this.unavailableUntilMs - this.timers.now());
  }

  /** Records the availability from a response head; never shortens an earlier period. */
  recordAvailability({
    leaving,
    stayAwayMs,
  }: Pick<ResponseAttributes, "leaving" | "stayAwayMs">): void {
    const untilMs = leaving ? Infinity : this.timers.now() + stayAwayMs;
    if (untilMs > this.timers.now())
      this.unavailableUntilMs = Math.max(this.unavailableUntilMs, untilMs);
  }

  /** Whether the failure rate is too high for regular requests. */
  get failing(): boolean {
    return this.failureRate >= MIN_FAILING_RATE;
  }

  /** Claims the next probe request if it is due. */
  tryClaimProbe(): boolean {
    const now = this.timers.now();
    if (now - Math.max(this.lastProbeMs, this.lastResultMs) < PROBE_INTERVAL_MS) return false;
    this.lastProbeMs = now;
    return true;
  }

  /** Records a response; `ratio` is its latency as a multiple of the expected one. */
  recordSuccess(ratio: number): void {
    this.recordResult(false);
    this.backoffMs = INITIAL_BACKOFF_MS;
    this.backoffUntilMs = -Infinity;
    const previousRatio = this.meanLatencyRatio ?? ratio;
    // An upstream that has recovered counts as fast from its first fast response.
    this.meanLatencyRatio =
      ratio < RECOVERY_RATIO * previousRatio
        ? ratio
        : previousRatio + SMOOTHING_FACTOR * (ratio - previousRatio);
  }

  /** Records that a response took longer than `ratio` times the expected latency. */
  recordSlow(ratio: number): void {
    this.recordResult(false);
    this.meanLatencyRatio = Math.max(this.meanLatencyRatio ?? ratio, ratio);
  }

  /** Records a response that reports a failure, or a lost response. */
  recordFailure(): void {
    this.recordResult(true);
  }

  /** Records a refused connection or a silent upstream; starts or doubles the backoff. */
  recordUnreachable(): void {
    this.lastUnreachableMs = this.timers.now();
    this.backoffUntilMs = this.lastUnreachableMs + this.backoffMs;
    this.lastBackoffEndMs = this.backoffUntilMs;
    this.backoffMs = Math.min(2 * this.backoffMs, MAX_BACKOFF_MS);
  }

  private recordResult(failed: boolean): void {
    if (!this.hasRecentResults) {
      this.resultCount = 0;
      this.meanFailureRate = 0;
      this.meanLatencyRatio = undefined;
    }
    this.resultCount += 1;
    this.lastResultMs = this.timers.now();
    this.meanFailureRate += SMOOTHING_FACTOR * ((failed ? 1 : 0) - this.meanFailureRate);
  }

  private get hasRecentResults(): boolean {
    return this.timers.now() - this.lastResultMs < RESULT_LIFETIME_MS;
  }
}
