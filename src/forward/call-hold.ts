/** Part of a call that waiting pieces would fill, below which a call is small. */
const SMALL_PART = 0.5;
/** Part of the time of an empty call for which a small call is held. */
const HOLD_PART = 0.4;

/** A call that could be sent now. */
export interface CallProspect {
  /** Pieces for whose results the upstream has memory now. */
  readonly pieces: number;
  /** Pieces that would be in the call with more memory. */
  readonly wanted: number;
  /** Time for which the upstream has been idle for want of memory, in ms. */
  readonly heldMs: number;
  /** Time of a call without its pieces, in ms. */
  readonly callMs: number;
}

/**
 * Whether a call should wait until results are released. Answers the load pattern of a queue before
 * upstreams whose memory for results is full: each release makes room for a few pieces, and calls
 * with so few of them take almost the time of full ones.
 */
export function holdsCall({ pieces, wanted, heldMs, callMs }: CallProspect): boolean {
  return pieces < SMALL_PART * wanted && heldMs < HOLD_PART * callMs;
}
