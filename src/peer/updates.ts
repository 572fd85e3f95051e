import type { Subscription } from "../time/subscription.js";
import type { Update } from "./update.js";

/** Broadcasts updates to all live instances, each delivered at least once. */
export interface Updates {
  /** Broadcasts an update of this instance; its own handlers do not receive it. */
  publish(update: Update): void;
  /**
   * Calls `handler` for each update that another instance published, also for those of the last two
   * minutes that arrived before.
   */
  subscribe(handler: (update: Update) => void): Subscription;
}
