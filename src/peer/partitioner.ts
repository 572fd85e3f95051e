/** Instances of one range, one of which receives an item and forwards it to the others. */
export interface Partition {
  /** Tried in order until one accepts the item. */
  readonly candidates: readonly string[];
  /** End of the ring range that the receiver forwards to; undefined if it forwards nothing. */
  readonly until: string | undefined;
}

/** Divides the members that a sender must reach, given in ring order, into partitions. */
export type Partitioner = (members: readonly string[], until: string) => Partition[];
