import { AppendResult } from "./append-result.js";
import type { BufferBudget } from "./buffer-budget.js";

/** Capacity up to which a buffer is not charged, so that large buffers do not starve small ones. */
const UNCHARGED_BYTES = 16_384;
const MIN_CAPACITY_BYTES = 512;
const EMPTY = Buffer.alloc(0);

/**
 * Collects bytes that arrive in chunks. They are copied into one allocation, since many small chunks
 * take far more memory than their bytes, and each may keep the whole read that it came in alive.
 */
export class ByteBuffer {
  private storage = EMPTY;
  private usedBytes = 0;

  private constructor(
    private readonly budget: BufferBudget,
    private readonly maxBytes: number,
    private readonly owner: string | undefined,
  ) {}

  /** Holds at most `maxBytes`, for a team if one is named. */
  static create(budget: BufferBudget, maxBytes: number, owner?: string): ByteBuffer {
    return new ByteBuffer(budget, maxBytes, owner);
  }

  /** Memory that is reserved for it, in bytes. */
  get reservedBytes(): number {
    return chargeOf(this.storage.length);
  }

  get length(): number {
    return this.usedBytes;
  }

  /** The bytes; valid until the next call that changes the buffer. */
  get bytes(): Buffer {
    return this.storage.subarray(0, this.usedBytes);
  }

  /** Adds a copy of the bytes; adds nothing if there is no room for all of them. */
  append(chunk: Uint8Array): AppendResult {
    const length = this.usedBytes + chunk.length;
    if (length > this.maxBytes) return AppendResult.TooLarge;
    if (length > this.storage.length && !this.grow(length)) return AppendResult.NoMemory;
    this.storage.set(chunk, this.usedBytes);
    this.usedBytes = length;
    return AppendResult.Added;
  }

  /** Removes and returns the bytes. */
  take(): Buffer {
    const { bytes } = this;
    this.clear();
    return bytes;
  }

  /** Drops the bytes and frees their memory. */
  clear(): void {
    this.budget.release(chargeOf(this.storage.length));
    this.storage = EMPTY;
    this.usedBytes = 0;
  }

  private grow(minBytes: number): boolean {
    const doubled = Math.max(minBytes, 2 * this.storage.length, MIN_CAPACITY_BYTES);
    const capacity = Math.max(minBytes, Math.min(doubled, this.maxBytes));
    const added = chargeOf(capacity) - chargeOf(this.storage.length);
    if (!this.budget.tryReserve(added, this.owner)) return false;
    // Memory of the shared pool would stay in use as long as any other slice of it.
    const storage = Buffer.allocUnsafeSlow(capacity);
    storage.set(this.bytes);
    this.storage = storage;
    return true;
  }
}

/** Bytes that a buffer of a capacity is charged for. */
export function chargeOf(capacity: number): number {
  return Math.max(0, capacity - UNCHARGED_BYTES);
}
