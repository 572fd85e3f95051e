import type { LoopDelay } from "../time/loop-delay.js";
import type { Timers } from "../time/timers.js";

/** Assumed upper bound of the transit time of an answer; many round trips within a region. */
const MAX_TRANSIT_MS = 250;
/** Time without newer rows after which it is logged where the rows come from. */
const LATE_MS = 2_000;

interface Parts {
  readonly timers: Timers;
  readonly loopDelay: Pick<LoopDelay, "recentMs">;
}

/** Rows that were known to be current later than usual. */
export interface LateRows {
  readonly lateMs: number;
  /** The store, or the instance that sent them. */
  readonly source: string;
  readonly loopDelayMs: number;
}

/** When cached rows were last known to be current. An answer may wait in a busy process. */
export class RowFreshness {
  private currentAsOfMs = -Infinity;

  private constructor(
    private readonly parts: Parts,
    private readonly onLate: (rows: LateRows) => void,
  ) {}

  static create(parts: Parts, onLate: (rows: LateRows) => void): RowFreshness {
    return new RowFreshness(parts, onLate);
  }

  /** Time since the rows were last known to be current, in ms; infinite before the first ones. */
  get ageMs(): number {
    return this.parts.timers.now() - this.currentAsOfMs;
  }

  /** The age for an answer to another instance, which may still wait in this process. */
  get reportedAgeMs(): number {
    return this.ageMs + this.parts.loopDelay.recentMs;
  }

  /**
   * Records an answer that is handled now, to a call that was sent at `sentMs` on the monotonic clock;
   * its rows were `ageMs` old when it left `source`.
   */
  recordAnswer(sentMs: number, ageMs: number, source: string): void {
    const { timers, loopDelay } = this.parts;
    const departedMs = timers.now() - MAX_TRANSIT_MS - loopDelay.recentMs;
    this.recordCurrent(Math.max(sentMs, departedMs) - ageMs, source);
  }

  /** Records that the rows were current at a time on the monotonic clock. */
  recordCurrent(asOfMs: number, source: string): void {
    const lateMs = Math.round(asOfMs - this.currentAsOfMs);
    const loopDelayMs = Math.round(this.parts.loopDelay.recentMs);
    if (lateMs > LATE_MS && lateMs < Infinity) this.onLate({ lateMs, source, loopDelayMs });
    this.currentAsOfMs = Math.max(this.currentAsOfMs, asOfMs);
  }
}
