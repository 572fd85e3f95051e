import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamStandings } from "./upstream-standings.js";

/** Time of a call, relative to the typical upstream, from which an upstream counts as slow. */
const SLOW_RATIO = 2;

interface SpareInput {
  readonly entries: readonly UpstreamEntry[];
  readonly standings: UpstreamStandings;
  readonly mostPieces: number;
  /** Pieces that wait for a call. */
  readonly waiting: number;
}

/**
 * Tells apart the upstreams that only get small calls: those that fail, and those so slow that the
 * others finish all waiting pieces in the time of one call to them. Answers the load pattern of one
 * slow upstream among few, which holds up whatever it is given.
 */
export function splitSpare({ entries, standings, mostPieces, waiting }: SpareInput): {
  readonly spare: readonly UpstreamEntry[];
  readonly usual: readonly UpstreamEntry[];
} {
  // Calls of small pieces are faster than stated, which makes no other upstream slow.
  const typical = Math.max(1, standings.typicalRatio(entries));
  const callOfOthers = (entries.length - 1) * mostPieces;
  const isSpare = ({ id }: UpstreamEntry): boolean => {
    const standing = standings.of(id);
    if (standing.failing) return true;
    const slowness = (standing.ratio ?? typical) / typical;
    return slowness > SLOW_RATIO && waiting < callOfOthers * slowness;
  };
  return {
    spare: entries.filter((entry) => isSpare(entry)),
    usual: entries.filter((entry) => !isSpare(entry)),
  };
}
