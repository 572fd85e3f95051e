import { ConcurrencyLimit } from "../admission/concurrency-limit.js";
import type { Upstream } from "../configuration/configuration-document.js";
import { ReportedLoad } from "./reported-load.js";
import type { EjectionState } from "./ejection-state.js";

const WEIGHT = 0.3;
const SUCCESS_WEIGHT = 0.5;
const RAMP_MS = 5_000;
const FIRST_PART = 0.1;

interface RunningAttempt {
  readonly start: number;
  readonly costMs: number;
}

/** What this instance knows of one upstream from its own attempts and from load reports. */
export class UpstreamRecord {
  ejectionState: EjectionState = { kind: "eligible" };
  /** Whether an exclusive attempt runs or waits to run alone here. */
  reserved = false;
  /** Whether the last load report arrived. */
  reachable = true;
  /** Time of the last attempt that this instance sent. */
  lastUsed = Number.NEGATIVE_INFINITY;
  readonly limit: ConcurrencyLimit;
  readonly reportedLoad = ReportedLoad.create();
  /** Attempts in flight in the order of their start. */
  private readonly running = new Set<RunningAttempt>();
  private meanRatio = 1;
  private count = 0;
  private success = 1;
  private failuresInRow = 0;

  private constructor(
    readonly upstream: Upstream,
    private rampStart: number,
  ) {
    this.limit = ConcurrencyLimit.create(upstream.slots);
  }

  /** `rampStart` is the time at which a slow start begins; minus infinity for none. */
  static create(upstream: Upstream, rampStart: number): UpstreamRecord {
    return new UpstreamRecord(upstream, rampStart);
  }

  /** Attempts of this instance that are in flight. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Counts an attempt until the returned function is called. */
  beginAttempt(costMs: number, now: number): () => void {
    const attempt = { start: now, costMs };
    this.running.add(attempt);
    this.lastUsed = now;
    return () => {
      this.running.delete(attempt);
    };
  }

  /** Least service time that the oldest attempt in flight shows, as a multiple of its estimate. */
  overdue(now: number): number {
    const [oldest] = this.running;
    return oldest === undefined || oldest.costMs <= 0 ? 0 : (now - oldest.start) / oldest.costMs;
  }

  /** Service time as a multiple of what the service needs on average. */
  get ratio(): number {
    return this.meanRatio;
  }

  get samples(): number {
    return this.count;
  }

  get successShare(): number {
    return this.success;
  }

  get consecutiveFailures(): number {
    return this.failuresInRow;
  }

  recordSuccess(ratio: number): void {
    this.count += 1;
    this.failuresInRow = 0;
    this.success += SUCCESS_WEIGHT * (1 - this.success);
    this.meanRatio += Math.max(WEIGHT, 1 / this.count) * (ratio - this.meanRatio);
  }

  recordFailure(): void {
    this.failuresInRow += 1;
    this.success -= SUCCESS_WEIGHT * this.success;
  }

  /** Forgets earlier results and starts with little traffic. */
  restart(now: number): void {
    this.rampStart = now;
    this.meanRatio = 1;
    this.count = 0;
    this.success = 1;
    this.failuresInRow = 0;
  }

  /** Part of its normal traffic that the upstream may get during a slow start, in (0, 1]. */
  ramp(now: number): number {
    return Math.min(1, Math.max(FIRST_PART, (now - this.rampStart) / RAMP_MS));
  }

  /** Requests that the upstream may run at once, for all instances together. */
  capacity(now: number): number {
    return this.limit.value * this.ramp(now);
  }
}
