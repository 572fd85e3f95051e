import { getHeapStatistics } from "node:v8";
import type { MemoryHolder } from "./memory-holder.js";

/** Part of the heap limit that buffered bodies and responses may take together. */
const HEAP_FRACTION = 0.25;

/** Bounds the memory that all buffers of bytes from callers and upstreams take together. */
export class BufferBudget {
  private reservedBytes = 0;
  private readonly holders = new Set<MemoryHolder>();

  private constructor(private readonly maxBytes: number) {}

  static create(maxBytes = HEAP_FRACTION * getHeapStatistics().heap_size_limit): BufferBudget {
    return new BufferBudget(maxBytes);
  }

  /** For buffers that are bounded by their own size alone. */
  static unlimited(): BufferBudget {
    return new BufferBudget(Infinity);
  }

  /** Bytes that are reserved now. */
  get usedBytes(): number {
    return this.reservedBytes;
  }

  /**
   * Reserves memory; returns false, and reserves nothing, if the buffers would take too much. Before,
   * it ends what the team with the most memory keeps, if that may be ended for a buffer of the owner;
   * an undefined owner counts as another team than each.
   */
  tryReserve(bytes: number, owner?: string): boolean {
    // Buffers that are not charged need no room, also where the responses take more than the limit.
    if (bytes <= 0) {
      this.reservedBytes += bytes;
      return true;
    }
    while (this.reservedBytes + bytes > this.maxBytes) {
      const victim = this.largestEvictable(owner);
      if (victim === undefined) return false;
      victim.evict();
      this.remove(victim);
    }
    this.reservedBytes += bytes;
    return true;
  }

  /** Counts memory that is in use already, also above the limit. */
  charge(bytes: number): void {
    this.reservedBytes += bytes;
  }

  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }

  /** Makes known who keeps memory that is reserved or charged. */
  add(holder: MemoryHolder): void {
    this.holders.add(holder);
  }

  remove(holder: MemoryHolder): void {
    this.holders.delete(holder);
  }

  private largestEvictable(owner: string | undefined): MemoryHolder | undefined {
    const sums = new Map<string, number>();
    let largest = "";
    for (const holder of this.holders) {
      const sum = (sums.get(holder.owner) ?? 0) + holder.reservedBytes;
      sums.set(holder.owner, sum);
      if (sum > (sums.get(largest) ?? 0)) largest = holder.owner;
    }
    let found: MemoryHolder | undefined;
    for (const holder of this.holders) {
      if (holder.owner !== largest || holder.reservedBytes <= (found?.reservedBytes ?? 0)) continue;
      if (holder.isEvictable(owner === largest)) found = holder;
    }
    return found;
  }
}
