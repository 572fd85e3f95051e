import type { Estimate } from "./estimate.js";
import type { Slot } from "./slot.js";
import type { Work } from "./work.js";

/** Admission and routing for the upstreams of one service. */
export interface Pool {
  /**
   * Waits for an upstream. Throws `Overloaded` or `DeadlineUnreachable` at once if the work cannot
   * be served in time, `NoUpstream` if none is left, and the signal's reason when it aborts.
   */
  acquire(work: Work, signal: AbortSignal): Promise<Slot>;
  estimate(work: Work): Estimate;
}
