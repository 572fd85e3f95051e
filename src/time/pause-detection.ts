import type { Pauses } from "./pauses.js";
import type { Subscription } from "./subscription.js";
import type { Timers } from "./timers.js";

export const TICK_MS = 200;
/** Above the longest garbage collections and below every lease and suspicion time. */
const PAUSE_MS = 1_000;

/** Detects pauses of the process by a periodic timer that fires late. */
export class PauseDetection implements Pauses {
  private readonly handlers = new Set<(lengthMs: number) => void>();
  private readonly tickHandlers: ((passedMs: number) => void)[] = [];
  private ticks: Subscription | undefined;
  private last = 0;

  private constructor(private readonly timers: Timers) {}

  static create(parts: { timers: Timers }): PauseDetection {
    return new PauseDetection(parts.timers);
  }

  start(): void {
    this.last = this.timers.now();
    this.ticks = this.timers.every(TICK_MS, () => {
      this.tick();
    });
  }

  stop(): void {
    this.ticks?.cancel();
  }

  subscribe(handler: (lengthMs: number) => void): Subscription {
    this.handlers.add(handler);
    return {
      cancel: () => {
        this.handlers.delete(handler);
      },
    };
  }

  /** Calls `handler` with the time since the last tick, which is `TICK_MS` or longer. */
  onTick(handler: (passedMs: number) => void): void {
    this.tickHandlers.push(handler);
  }

  private tick(): void {
    const now = this.timers.now();
    const length = now - this.last;
    this.last = now;
    for (const handler of this.tickHandlers) handler(length);
    if (length < PAUSE_MS) return;
    for (const handler of this.handlers) handler(length);
  }
}
