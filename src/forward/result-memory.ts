import type { Timers } from "../time/timers.js";

/** Tracks the use of an upstream's result memory, as far as this instance knows it. */
export class ResultMemory {
  private readonly results = new Map<string, { bytes: number; untilMs: number }>();
  private reservedBytes = 0;
  private fullUntilMs = -Infinity;

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): ResultMemory {
    return new ResultMemory(timers);
  }

  /** Free bytes of a memory of `capacity` bytes. */
  freeBytes(capacity: number): number {
    const now = this.timers.now();
    if (now < this.fullUntilMs) return 0;
    let used = this.reservedBytes;
    for (const [handle, { bytes, untilMs }] of this.results) {
      if (untilMs <= now) this.results.delete(handle);
      else used += bytes;
    }
    return capacity - used;
  }

  /** Reserves room for the results of a call; the returned function ends the reservation. */
  reserve(bytes: number): () => void {
    this.reservedBytes += bytes;
    return () => {
      this.reservedBytes -= bytes;
    };
  }

  add(handle: string, bytes: number, keptMs: number): void {
    this.results.set(handle, { bytes, untilMs: this.timers.now() + keptMs });
  }

  release(handle: string): void {
    this.results.delete(handle);
  }

  /** Treats the memory as full for `ms`, after the upstream reported that it has no room. */
  markFull(ms: number): void {
    this.fullUntilMs = this.timers.now() + ms;
  }
}
