/** A call is small if it has less than this fraction of its pieces without the memory limit. */
const SMALL_CALL_FRACTION = 0.5;
/** Longest delay of a small call, as a fraction of the base time of a call. */
const MAX_DELAY_FRACTION = 0.4;

/** A call that could be sent now, or delayed until more result memory is free. */
export interface CallCandidate {
  /** Pieces whose results fit into the free memory of the upstream. */
  readonly pieces: number;
  /** Pieces that the call would have if memory did not limit it. */
  readonly piecesWithoutLimit: number;
  /** Time for which calls to the upstream have been delayed for lack of memory, in ms. */
  readonly delayedMs: number;
  /** Time of a call without its pieces, in ms. */
  readonly baseCallMs: number;
}

/**
 * Whether a call should wait until results are released. When the result memory of an upstream is
 * full, each release makes room for a few pieces only, and a call with so few pieces takes almost
 * as long as a full one.
 */
export function shouldDelayCall({
  pieces,
  piecesWithoutLimit,
  delayedMs,
  baseCallMs,
}: CallCandidate): boolean {
  return (
    pieces < SMALL_CALL_FRACTION * piecesWithoutLimit && delayedMs < MAX_DELAY_FRACTION * baseCallMs
  );
}
