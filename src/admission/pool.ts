import type { Estimate } from "./estimate.js";
import type { Slot } from "./slot.js";
import type { Work } from "./work.js";

/** Admits work for one service and assigns upstreams to it. */
export interface Pool {
  /**
   * Waits for a slot at an upstream. Throws `Overloaded` or `DeadlineUnreachable` at once if the
   * work cannot be served in time, `NoUpstream` if no upstream may be used, `DeadlineUnreachable`
   * or `DeadlineExceeded` if too little time is left after the wait, and the signal's reason when
   * it aborts.
   */
  acquire(work: Work, signal: AbortSignal): Promise<Slot>;
  estimate(work: Work): Estimate;
}
