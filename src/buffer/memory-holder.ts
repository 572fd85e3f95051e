/** Something that keeps reserved memory of a `BufferBudget`. */
export interface MemoryHolder {
  /** Name of the team for which it is kept; empty if there is none. */
  readonly owner: string;
  /** Bytes that it has reserved. */
  readonly reservedBytes: number;
  /** Whether it may be ended for a buffer of its own team, or of another one. */
  isEvictable: (sameOwner: boolean) => boolean;
  /** Ends it, which frees its memory at once. */
  evict: () => void;
}
