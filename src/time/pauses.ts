import type { Subscription } from "./subscription.js";

/** Tells when this process did not run for longer than a bound. */
export interface Pauses {
  /** Calls `handler` after each pause with its length in ms, before later timers of the process. */
  subscribe(handler: (lengthMs: number) => void): Subscription;
}
