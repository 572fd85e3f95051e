import type { Subscription } from "./subscription.js";

/** The timer service: the only source of time and of delayed or periodic work. */
export interface Timers {
  /** Monotonic time in ms. */
  now(): number;
  /** Time since the epoch in ms; may jump, so it is used for display and stored times only. */
  wallClock(): number;
  /** Resolves after `ms`; rejects with the signal's reason if it aborts first. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /** Calls `handler` once after `ms`. */
  after(ms: number, handler: () => void): Subscription;
  /** Calls `handler` every `ms`, the first time after `ms`. */
  every(ms: number, handler: () => void): Subscription;
}
