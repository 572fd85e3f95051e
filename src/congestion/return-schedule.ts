import type { Timers } from "../time/timers.js";

/** Time after its slot for which room is kept for a caller; covers the jitter of retry delays. */
const GRACE_MS = 300;
const GRACE_FRACTION = 0.5;
/** Part of the throughput that is promised; some callers do not return. */
const PROMISED_SHARE = 0.5;

interface Slot {
  readonly dueMs: number;
  readonly lapsesMs: number;
  readonly costMs: number;
}

/**
 * Times at which refused callers may return to a queue, in the order of their refusals. Answers
 * bursts that last for seconds: told the excess wait of the moment, all refused callers return
 * together after a few ms and are refused again, and new ones take the room that they wait for.
 */
export class ReturnSchedule {
  private slots: Slot[] = [];
  private endMs = -Infinity;

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): ReturnSchedule {
    return new ReturnSchedule(timers);
  }

  /**
   * Keeps the next room for a caller whose work takes `costMs` of the queue; returns the time in ms
   * until then. Nothing is kept beyond `usefulMs`, when the caller could only be served late.
   */
  promise(costMs: number, earliestMs: number, usefulMs: number): number {
    const now = this.timers.now();
    const dueMs = Math.max(now + earliestMs, this.endMs);
    const delayMs = dueMs - now;
    if (delayMs > usefulMs) return delayMs;
    const lapsesMs = dueMs + GRACE_MS + GRACE_FRACTION * delayMs;
    this.endMs = dueMs + costMs / PROMISED_SHARE;
    this.slots.push({ dueMs, lapsesMs, costMs });
    return delayMs;
  }

  /** Ends the oldest promise, as a caller has returned. */
  claim(): void {
    this.dropLapsed();
    this.slots.shift();
  }

  /** Work in ms of the callers that may return within `horizonMs`. */
  reservedMs(horizonMs: number): number {
    this.dropLapsed();
    const untilMs = this.timers.now() + horizonMs;
    return this.slots.reduce(
      (sum, { dueMs, costMs }) => (dueMs <= untilMs ? sum + costMs : sum),
      0,
    );
  }

  private dropLapsed(): void {
    const now = this.timers.now();
    this.slots = this.slots.filter(({ lapsesMs }) => lapsesMs > now);
  }
}
