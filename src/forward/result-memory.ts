import type { Timers } from "../time/timers.js";

/** Tracks the result memory of an upstream that calls of this instance use. */
export class ResultMemory {
  private readonly results = new Map<string, { bytes: number; expiresAtMs: number }>();
  private reservedBytes = 0;
  private fullUntilMs = -Infinity;

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): ResultMemory {
    return new ResultMemory(timers);
  }

  /** Free bytes of `capacity` bytes. */
  freeBytes(capacity: number): number {
    const now = this.timers.now();
    if (now < this.fullUntilMs) return 0;
    let usedBytes = this.reservedBytes;
    for (const [handle, { bytes, expiresAtMs }] of this.results) {
      if (expiresAtMs <= now) this.results.delete(handle);
      else usedBytes += bytes;
    }
    return capacity - usedBytes;
  }

  /** Reserves memory for the results of a call; the returned function ends the reservation. */
  reserve(bytes: number): () => void {
    this.reservedBytes += bytes;
    return () => {
      this.reservedBytes -= bytes;
    };
  }

  add(handle: string, bytes: number, ttlMs: number): void {
    this.results.set(handle, { bytes, expiresAtMs: this.timers.now() + ttlMs });
  }

  release(handle: string): void {
    this.results.delete(handle);
  }

  /** Treats the memory as full for `durationMs`, after the upstream reported that it is. */
  markFull(durationMs: number): void {
    this.fullUntilMs = this.timers.now() + durationMs;
  }
}
