import type { StageCapacity } from "./service-definition.js";

/** Time from the dispatch of an average prompt to an engine until its first event. */
export const ENGINE_FIRST_EVENT_MS = 300;

/**
 * Fraction of the full throughput that is reached: some calls wait for inputs, transfers or memory,
 * and those that hold only whole submissions are not quite full.
 */
export const CALL_FILL_FRACTION = 0.85;

/** Time in ms of a call with `pieces` pieces, or of a full call if there are more. */
export function expectedCallMs(
  { baseCallMs, maxPieces, pieceMs }: StageCapacity,
  pieces: number,
): number {
  return baseCallMs + Math.min(maxPieces, pieces) * pieceMs;
}

/** Time of a full call in ms. */
export function fullCallMs(capacity: StageCapacity): number {
  return expectedCallMs(capacity, capacity.maxPieces);
}

/** Throughput of `upstreams` upstreams with full calls, in pieces per ms. */
export function piecesPerMs(capacity: StageCapacity, upstreams: number): number {
  const { maxCalls, maxPieces } = capacity;
  return (upstreams * maxCalls * maxPieces) / fullCallMs(capacity);
}
