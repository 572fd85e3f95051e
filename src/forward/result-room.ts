import type { Timers } from "../time/timers.js";

/** Tells how much of an upstream's memory for results is in use, as far as this instance knows. */
export class ResultRoom {
  private readonly kept = new Map<string, { bytes: number; untilMs: number }>();
  private reservedBytes = 0;
  private fullUntil = -Infinity;

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): ResultRoom {
    return new ResultRoom(timers);
  }

  /** Free bytes of a memory of `capacity` bytes. */
  free(capacity: number): number {
    const now = this.timers.now();
    if (now < this.fullUntil) return 0;
    let used = this.reservedBytes;
    for (const [handle, { bytes, untilMs }] of this.kept) {
      if (untilMs <= now) this.kept.delete(handle);
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

  keep(handle: string, bytes: number, keptMs: number): void {
    this.kept.set(handle, { bytes, untilMs: this.timers.now() + keptMs });
  }

  release(handle: string): void {
    this.kept.delete(handle);
  }

  /** Notes that the upstream itself reported that it has no room, for `ms`. */
  full(ms: number): void {
    this.fullUntil = this.timers.now() + ms;
  }
}
