import { type PauseDetection, TICK_MS } from "./pause-detection.js";
import type { Timers } from "./timers.js";

/** Time for which a delay counts as recent. */
const WINDOW_MS = 3_000;

interface Delay {
  readonly atMs: number;
  readonly delayMs: number;
}

interface Parts {
  readonly timers: Timers;
  readonly pauses: Pick<PauseDetection, "onTick">;
}

/**
 * Measures how late this process handles what is due. The time of day counts too, as the monotonic
 * clock stands still while the machine is suspended.
 */
export class LoopDelay {
  private delays: readonly Delay[] = [];
  private lastWallClockMs: number;
  private readonly handlers: ((delayMs: number) => void)[] = [];

  private constructor(private readonly timers: Timers) {
    this.lastWallClockMs = timers.wallClock();
  }

  static create({ timers, pauses }: Parts): LoopDelay {
    const loopDelay = new LoopDelay(timers);
    pauses.onTick((passedMs) => {
      loopDelay.record(passedMs);
    });
    return loopDelay;
  }

  /** Longest delay of the last 3 s, in ms. */
  get recentMs(): number {
    return Math.max(0, ...this.recent.map(({ delayMs }) => delayMs));
  }

  /** Calls `handler` with each delay in ms. */
  onDelay(handler: (delayMs: number) => void): void {
    this.handlers.push(handler);
  }

  private get recent(): readonly Delay[] {
    const oldestMs = this.timers.now() - WINDOW_MS;
    return this.delays.filter(({ atMs }) => atMs >= oldestMs);
  }

  private record(passedMs: number): void {
    const wallClockMs = this.timers.wallClock();
    const longestMs = Math.max(passedMs, wallClockMs - this.lastWallClockMs);
    this.lastWallClockMs = wallClockMs;
    const delayMs = Math.max(0, longestMs - TICK_MS);
    this.delays = [...this.recent, { atMs: this.timers.now(), delayMs }];
    for (const handler of this.handlers) handler(delayMs);
  }
}
