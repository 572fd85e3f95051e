import type { Subscription } from "./subscription.js";
import type { Timers } from "./timers.js";

const TICK_MS = 200;
/** Time for which a delay counts as recent. */
const WINDOW_MS = 3_000;

/**
 * Measures how late this process handles what is due, by a periodic timer. The time of day counts too,
 * as the monotonic clock stands still while the machine is suspended.
 */
export class LoopDelay {
  private ticks: Subscription | undefined;
  private last = { monotonicMs: 0, wallClockMs: 0 };
  private delays: { readonly atMs: number; readonly delayMs: number }[] = [];
  private readonly handlers: ((delayMs: number) => void)[] = [];

  private constructor(private readonly timers: Timers) {}

  static create(parts: { timers: Timers }): LoopDelay {
    return new LoopDelay(parts.timers);
  }

  start(): void {
    this.last = this.readClocks();
    this.ticks = this.timers.every(TICK_MS, () => {
      this.tick();
    });
  }

  stop(): void {
    this.ticks?.cancel();
  }

  /** Longest delay of the last 3 s, in ms. */
  get recentMs(): number {
    const oldestMs = this.timers.now() - WINDOW_MS;
    return Math.max(0, ...this.delays.flatMap((e) => (e.atMs >= oldestMs ? [e.delayMs] : [])));
  }

  /** Calls `handler` with each delay in ms. */
  onDelay(handler: (delayMs: number) => void): void {
    this.handlers.push(handler);
  }

  private tick(): void {
    const { monotonicMs, wallClockMs } = this.last;
    this.last = this.readClocks();
    const now = this.last.monotonicMs;
    const passedMs = Math.max(now - monotonicMs, this.last.wallClockMs - wallClockMs);
    const delayMs = Math.max(0, passedMs - TICK_MS);
    this.delays.push({ atMs: now, delayMs });
    const first = this.delays.findIndex(({ atMs }) => atMs >= now - WINDOW_MS);
    this.delays.splice(0, first);
    for (const handler of this.handlers) handler(delayMs);
  }

  private readClocks(): { monotonicMs: number; wallClockMs: number } {
    return { monotonicMs: this.timers.now(), wallClockMs: this.timers.wallClock() };
  }
}
