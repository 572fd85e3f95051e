import type { Timers } from "../time/timers.js";
import type { ResponseAttributes } from "./response-attributes.js";

/** First time without work after a failure to reach an upstream; doubled by each further one. */
const INITIAL_BACKOFF_MS = 500;
/** Registered upstreams that crashed are back, or off the list, after a few seconds. */
const MAX_BACKOFF_MS = 4_000;
/** Weight of the newest result in the means; the last four results make up most of them. */
const SMOOTHING_FACTOR = 0.25;
/** Part of the mean time below which a single answer replaces the mean. */
const RECOVERY_RATIO = 0.5;
/** Share of failed answers from which an upstream counts as failing. */
const MIN_FAILING_RATE = 0.3;
/** Results after which a share says something. */
const MIN_RESULTS = 3;
/** Time after which an upstream that fails gets one request again. */
const PROBE_INTERVAL_MS = 2_000;
/** Time without results after which earlier results no longer count. */
const RESULT_LIFETIME_MS = 10_000;

/** What this instance learnt of one upstream from its own attempts. */
export class UpstreamHealth {
  /** Attempts of this instance in progress. */
  inFlight = 0;
  private backoffUntilMs = -Infinity;
  private backoffMs = INITIAL_BACKOFF_MS;
  private unavailableUntilMs = -Infinity;
  private meanFailureRate = 0;
  private resultCount = 0;
  private meanRatio: number | undefined;
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

  /** Time to the answer in ms, relative to what was expected; undefined without fresh results. */
  get latencyRatio(): number | undefined {
    return this.fresh ? this.meanRatio : undefined;
  }

  /** Share of failures among the last results. */
  get failureRate(): number {
    return this.fresh && this.resultCount >= MIN_RESULTS ? this.meanFailureRate : 0;
  }

  /** Whether the upstream could not be reached lately. */
  get backingOff(): boolean {
    return this.timers.now() < this.backoffUntilMs;
  }

  /** Whether the upstream takes no new work: it is leaving, or asked to be left alone. */
  get unavailable(): boolean {
    return this.availableInMs > 0;
  }

  /** Time until the upstream takes new work again, in ms; infinite if it is leaving. */
  get availableInMs(): number {
    return Math.max(0, this.unavailableUntilMs - this.timers.now());
  }

  /** Notes what the head of an answer says; an earlier statement is never shortened. */
  recordAvailability({
    leaving,
    stayAwayMs,
  }: Pick<ResponseAttributes, "leaving" | "stayAwayMs">): void {
    const until = leaving ? Infinity : this.timers.now() + stayAwayMs;
    if (until > this.timers.now())
      this.unavailableUntilMs = Math.max(this.unavailableUntilMs, until);
  }

  /** Whether too many of the last requests failed. */
  get failing(): boolean {
    return this.failureRate >= MIN_FAILING_RATE;
  }

  /** Claims the one request that a failing upstream gets from time to time. */
  tryClaimProbe(): boolean {
    const now = this.timers.now();
    if (now - Math.max(this.lastProbeMs, this.lastResultMs) < PROBE_INTERVAL_MS) return false;
    this.lastProbeMs = now;
    return true;
  }

  /** Records an answer; `ratio` is its time as a multiple of the expected time. */
  recordSuccess(ratio: number): void {
    this.recordResult(false);
    this.backoffMs = INITIAL_BACKOFF_MS;
    this.backoffUntilMs = -Infinity;
    const known = this.meanRatio ?? ratio;
    // An upstream that has become fast again is believed at once.
    this.meanRatio =
      ratio < RECOVERY_RATIO * known ? ratio : known + SMOOTHING_FACTOR * (ratio - known);
  }

  /** Records that an answer took longer than `ratio` times the expected time. */
  recordSlow(ratio: number): void {
    this.recordResult(false);
    this.meanRatio = Math.max(this.meanRatio ?? ratio, ratio);
  }

  /** Records an answer that reports a failure, or a lost answer. */
  recordFailure(): void {
    this.recordResult(true);
  }

  /** Records that the upstream did not accept a connection or went silent. */
  recordUnreachable(): void {
    this.backoffUntilMs = this.timers.now() + this.backoffMs;
    this.backoffMs = Math.min(2 * this.backoffMs, MAX_BACKOFF_MS);
  }

  private recordResult(failed: boolean): void {
    if (!this.fresh) {
      this.resultCount = 0;
      this.meanFailureRate = 0;
      this.meanRatio = undefined;
    }
    this.resultCount += 1;
    this.lastResultMs = this.timers.now();
    this.meanFailureRate += SMOOTHING_FACTOR * ((failed ? 1 : 0) - this.meanFailureRate);
  }

  private get fresh(): boolean {
    return this.timers.now() - this.lastResultMs < RESULT_LIFETIME_MS;
  }
}
