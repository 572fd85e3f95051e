import type { StageCapacity } from "./service-definition.js";

/** Time from the dispatch to an engine until the first event of an average prompt. */
export const ENGINE_FIRST_EVENT_MS = 300;

/** Time of a call with `pieces` pieces, or a full one, as the capacity states it, in ms. */
export function expectedCallMs(
  { baseCallMs, maxPieces, pieceMs }: StageCapacity,
  pieces: number,
): number {
  return baseCallMs + Math.min(maxPieces, pieces) * pieceMs;
}

/** Time of a full call as the capacity states it, in ms. */
export function fullCallMs(capacity: StageCapacity): number {
  return expectedCallMs(capacity, capacity.maxPieces);
}

/** Pieces that `upstreams` upstreams make in a millisecond with full calls. */
export function piecesPerMs(capacity: StageCapacity, upstreams: number): number {
  const { maxCalls, maxPieces } = capacity;
  return (upstreams * maxCalls * maxPieces) / fullCallMs(capacity);
}
