import type { Subscription } from "../time/subscription.js";
import type { Update } from "./update.js";

/** Spreads updates to all live instances, each delivered at least once. */
export interface Updates {
  /** Spreads an update that this instance made; it is not delivered to this instance's handlers. */
  publish(update: Update): void;
  /** Calls `handler` for each update that another instance made. */
  subscribe(handler: (update: Update) => void): Subscription;
}
