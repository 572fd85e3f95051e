import type { Timers } from "../time/timers.js";
import type { QueuedPiece } from "./queued-submission.js";
import type { CallTarget } from "./stage-queue.js";
import { shouldDelayCall } from "./call-candidate.js";

/** A call that could be sent now. */
export interface DelayableCall {
  readonly pieces: readonly QueuedPiece[];
  /** Queued pieces that are not in the call. */
  readonly waiting: number;
  readonly target: CallTarget;
}

/** Delays small calls to upstreams whose result memory is full. */
export class CallDelays {
  /** Start of the delay, by upstream id. */
  private readonly delayedSinceMs = new Map<string, number>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): CallDelays {
    return new CallDelays(timers);
  }

  /** Whether the call should wait until the upstream has more free memory. */
  shouldDelay(id: string, { pieces, waiting, target }: DelayableCall): boolean {
    const { maxPieces, resultBytes, baseCallMs } = target;
    const now = this.timers.now();
    const sinceMs = this.delayedSinceMs.get(id) ?? now;
    const bytes = pieces.map(({ parent }) => parent.submission.resultBytes);
    const freeBytes = resultBytes - bytes.reduce((sum, size) => sum + size, 0);
    const limitedByMemory = waiting > 0 && freeBytes < Math.max(0, ...bytes);
    const piecesWithoutLimit = Math.min(maxPieces, pieces.length + waiting);
    const delayedMs = now - sinceMs;
    const delayed =
      limitedByMemory &&
      shouldDelayCall({
        pieces: pieces.length,
        piecesWithoutLimit,
        delayedMs,
        baseCallMs,
      });
    if (delayed) this.delayedSinceMs.set(id, sinceMs);
    else this.delayedSinceMs.delete(id);
    return delayed;
  }
}
