import type { Partition } from "./partitioner.js";

/** Calls that each instance makes for one update. */
const FAN_OUT = 4;
/** Up to this size all members of a range are called at once; dead ones then delay no other. */
const MAX_DIRECT_CALLS = 8;

/**
 * Splits a range of the ring into equal parts, so that each member is visited once.
 * M. Castro, M. Costa, A. Rowstron, "Should we build Gnutella on a structured overlay?".
 */
export function partitionRange(members: readonly string[], until: string): Partition[] {
  const size = members.length <= MAX_DIRECT_CALLS ? 1 : Math.ceil(members.length / FAN_OUT);
  const partitions: Partition[] = [];
  for (let start = 0; start < members.length; start += size) {
    const candidates = members.slice(start, start + size);
    partitions.push({ candidates, until: members[start + size] ?? until });
  }
  return partitions;
}
