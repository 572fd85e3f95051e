import type { Timers } from "../time/timers.js";
import { LatencyWindow } from "./latency-window.js";

/** Matches the share of attempts that exceed the 95th percentile. */
const ALLOWANCE_PER_ATTEMPT = 0.05;
const INITIAL_ALLOWANCE = 2;
const MAX_ALLOWANCE = 10;

/** Decides when a slow attempt is hedged by a second one; hedges have their own budget. */
export class Hedges {
  private allowance = INITIAL_ALLOWANCE;
  private readonly latencies = new Map<string, LatencyWindow>();

  private constructor(private readonly timers: Timers) {}

  static create(parts: { readonly timers: Timers }): Hedges {
    return new Hedges(parts.timers);
  }

  /** Records a first attempt of a stage, which adds to the budget. */
  recordFirstAttempt(): void {
    this.allowance = Math.min(MAX_ALLOWANCE, this.allowance + ALLOWANCE_PER_ATTEMPT);
  }

  /** Takes one hedge from the budget; returns false if it is spent. */
  takeHedge(): boolean {
    if (this.allowance < 1) return false;
    this.allowance -= 1;
    return true;
  }

  /** Records the time in ms to the answer of an attempt, or to the first token of a stream. */
  recordLatency(service: string, ms: number): void {
    const now = this.timers.now();
    const known = this.latencies.get(service) ?? LatencyWindow.create(now);
    this.latencies.set(service, known);
    known.record(ms, now);
  }

  /** Time in ms after which an attempt is hedged; undefined while there are too few samples. */
  delayMs(service: string): number | undefined {
    return this.latencies.get(service)?.quantile(this.timers.now());
  }
}
