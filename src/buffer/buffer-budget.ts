import { getHeapStatistics } from "node:v8";

/** Part of the heap limit that buffered bodies and responses may take together. */
const HEAP_FRACTION = 0.25;

/** Bounds the memory that all buffers of bytes from callers and upstreams take together. */
export class BufferBudget {
  private reservedBytes = 0;

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

  /** Reserves memory; returns false, and reserves nothing, if the buffers would take too much. */
  tryReserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.maxBytes) return false;
    this.reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}
