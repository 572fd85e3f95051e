import type { Timers } from "../time/timers.js";
import type { ResponseAttributes } from "./response-attributes.js";

/** First time without work after a failure to reach an upstream; doubled by each further one. */
const FIRST_AVOID_MS = 500;
/** Registered upstreams that crashed are back, or off the list, after a few seconds. */
const LONGEST_AVOID_MS = 4_000;
/** Weight of the newest result in the means; the last four results make up most of them. */
const WEIGHT = 0.25;
/** Part of the mean time below which a single answer replaces the mean. */
const RECOVERED_PART = 0.5;
/** Share of failed answers from which an upstream counts as failing. */
const FAILING_SHARE = 0.3;
/** Results after which a share says something. */
const LEAST_RESULTS = 3;
/** Time after which an upstream that fails gets one request again. */
const PROBE_MS = 2_000;
/** Time without results after which earlier results no longer count. */
const STALE_MS = 10_000;

/** What this instance learnt of one upstream from its own attempts. */
export class UpstreamHealth {
  /** Attempts of this instance in progress. */
  inFlight = 0;
  private avoidedUntil = -Infinity;
  private avoidMs = FIRST_AVOID_MS;
  private closedUntil = -Infinity;
  private failedShare = 0;
  private results = 0;
  private meanMs: number | undefined;
  private lastResult = -Infinity;
  private lastProbe = -Infinity;

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
    return this.fresh ? this.meanMs : undefined;
  }

  /** Share of failures among the last results. */
  get failureRate(): number {
    return this.fresh && this.results >= LEAST_RESULTS ? this.failedShare : 0;
  }

  /** Whether the upstream could not be reached lately. */
  get backingOff(): boolean {
    return this.timers.now() < this.avoidedUntil;
  }

  /** Whether the upstream takes no new work: it is leaving, or asked to be left alone. */
  get unavailable(): boolean {
    return this.availableInMs > 0;
  }

  /** Time until the upstream takes new work again, in ms; infinite if it is leaving. */
  get availableInMs(): number {
    return Math.max(0, this.closedUntil - this.timers.now());
  }

  /** Notes what the head of an answer says; an earlier statement is never shortened. */
  recordAvailability({
    leaving,
    stayAwayMs,
  }: Pick<ResponseAttributes, "leaving" | "stayAwayMs">): void {
    const until = leaving ? Infinity : this.timers.now() + stayAwayMs;
    if (until > this.timers.now()) this.closedUntil = Math.max(this.closedUntil, until);
  }

  /** Whether too many of the last requests failed. */
  get failing(): boolean {
    return this.failureRate >= FAILING_SHARE;
  }

  /** Claims the one request that a failing upstream gets from time to time. */
  tryClaimProbe(): boolean {
    const now = this.timers.now();
    if (now - Math.max(this.lastProbe, this.lastResult) < PROBE_MS) return false;
    this.lastProbe = now;
    return true;
  }

  /** Records an answer; `ratio` is its time as a multiple of the expected time. */
  recordSuccess(ratio: number): void {
    this.note(false);
    this.avoidMs = FIRST_AVOID_MS;
    this.avoidedUntil = -Infinity;
    const known = this.meanMs ?? ratio;
    // An upstream that has become fast again is believed at once.
    this.meanMs = ratio < RECOVERED_PART * known ? ratio : known + WEIGHT * (ratio - known);
  }

  /** Records that an answer took longer than `ratio` times the expected time. */
  recordSlow(ratio: number): void {
    this.note(false);
    this.meanMs = Math.max(this.meanMs ?? ratio, ratio);
  }

  /** Records an answer that reports a failure, or a lost answer. */
  recordFailure(): void {
    this.note(true);
  }

  /** Records that the upstream did not accept a connection or went silent. */
  recordUnreachable(): void {
    this.avoidedUntil = this.timers.now() + this.avoidMs;
    this.avoidMs = Math.min(2 * this.avoidMs, LONGEST_AVOID_MS);
  }

  private note(failed: boolean): void {
    if (!this.fresh) {
      this.results = 0;
      this.failedShare = 0;
      this.meanMs = undefined;
    }
    this.results += 1;
    this.lastResult = this.timers.now();
    this.failedShare += WEIGHT * ((failed ? 1 : 0) - this.failedShare);
  }

  private get fresh(): boolean {
    return this.timers.now() - this.lastResult < STALE_MS;
  }
}
