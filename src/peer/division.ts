/** Instances that may receive an item, one of which passes it on to the others. */
export interface Share {
  /** Tried in order until one accepts the item. */
  readonly candidates: readonly string[];
  /** End of the ring range that the receiver covers; undefined if it passes nothing on. */
  readonly until: string | undefined;
}

/** Divides the members that a sender must reach, given in ring order, into shares. */
export type Division = (members: readonly string[], until: string) => Share[];
