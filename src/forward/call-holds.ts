import type { Timers } from "../time/timers.js";
import type { QueuedPiece } from "./queued-submission.js";
import type { CallRoom } from "./stage-queue.js";
import { holdsCall } from "./call-hold.js";

/** A call that could be sent now, and what waits beside it. */
export interface HeldCall {
  readonly pieces: readonly QueuedPiece[];
  /** Pieces that wait and are not in the call. */
  readonly waiting: number;
  readonly room: CallRoom;
}

/** The upstreams that get no call until results are released. */
export class CallHolds {
  /** Time since which an upstream is idle for want of memory. */
  private readonly sinceMs = new Map<string, number>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): CallHolds {
    return new CallHolds(timers);
  }

  /** Whether the upstream should wait for memory instead of getting the call. */
  holds(id: string, { pieces, waiting, room }: HeldCall): boolean {
    const { mostPieces, resultBytes, callMs } = room;
    const now = this.timers.now();
    const sinceMs = this.sinceMs.get(id) ?? now;
    const bytes = pieces.map(({ owner }) => owner.submission.resultBytes);
    const left = resultBytes - bytes.reduce((sum, each) => sum + each, 0);
    const limited = waiting > 0 && left < Math.max(0, ...bytes);
    const wanted = Math.min(mostPieces, pieces.length + waiting);
    const heldMs = now - sinceMs;
    const held = limited && holdsCall({ pieces: pieces.length, wanted, heldMs, callMs });
    if (held) this.sinceMs.set(id, sinceMs);
    else this.sinceMs.delete(id);
    return held;
  }
}
