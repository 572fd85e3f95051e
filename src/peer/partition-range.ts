import type { Partition } from "./partitioner.js";

/** Partitions of a larger range, and so calls that each instance makes for one item. */
const FAN_OUT = 4;
/** Members of a range up to this size are all called directly, so that dead ones delay no others. */
const MAX_DIRECT_CALLS = 8;

/**
 * Splits a range of the ring into equal partitions, so that each member is visited once.
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
