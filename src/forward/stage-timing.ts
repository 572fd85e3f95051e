import type { StageCapacity } from "./service-definition.js";

/** Time from the dispatch to an engine until the first event of an average prompt. */
export const ENGINE_FIRST_EVENT_MS = 300;

/** Time of a call with `pieces` pieces, or a full one, as the capacity states it, in ms. */
export function expectedCallMs(
  { callMs, mostPieces, pieceMs }: StageCapacity,
  pieces: number,
): number {
  return callMs + Math.min(mostPieces, pieces) * pieceMs;
}

/** Time of a full call as the capacity states it, in ms. */
export function fullCallMs(capacity: StageCapacity): number {
  return expectedCallMs(capacity, capacity.mostPieces);
}

/** Pieces that `upstreams` upstreams make in a millisecond with full calls. */
export function piecesPerMs(capacity: StageCapacity, upstreams: number): number {
  const { callsAtOnce, mostPieces } = capacity;
  return (upstreams * callsAtOnce * mostPieces) / fullCallMs(capacity);
}
