import type { Share } from "./division.js";

/** Calls that each instance makes for one update. */
const FAN_OUT = 4;

/**
 * Splits a range of the ring into equal parts, so that each member is visited once.
 * M. Castro, M. Costa, A. Rowstron, "Should we build Gnutella on a structured overlay?".
 */
export function ringDivision(members: readonly string[], until: string): Share[] {
  const size = Math.ceil(members.length / FAN_OUT);
  const shares: Share[] = [];
  for (let start = 0; start < members.length; start += size) {
    const candidates = members.slice(start, start + size);
    shares.push({ candidates, until: members[start + size] ?? until });
  }
  return shares;
}
