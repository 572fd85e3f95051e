import type { ServerResponse } from "node:http";
import type { BufferBudget } from "../buffer/buffer-budget.js";
import { chargeOf } from "../buffer/byte-buffer.js";
import type { MemoryHolder } from "../buffer/memory-holder.js";
import type { Timers } from "../time/timers.js";
import type { CallerLosses } from "./caller-losses.js";
import { LossReason } from "./loss-reason.js";
import { STALL_MS } from "./stall.js";

interface Parts {
  readonly timers: Pick<Timers, "now">;
  readonly bufferBudget: BufferBudget;
  readonly callerLosses: Pick<CallerLosses, "record">;
}

/** Counts the memory of responses that their callers have not read. */
export class UnreadResponses {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): UnreadResponses {
    return new UnreadResponses(parts);
  }

  /**
   * Counts bytes of a response until the returned function is called; undefined if they are few. The
   * connection may be closed when memory is short and its caller has not read for long.
   */
  hold(owner: string, bytes: number, response: ServerResponse): (() => void) | undefined {
    const { timers, bufferBudget, callerLosses } = this.parts;
    const reservedBytes = chargeOf(bytes);
    if (reservedBytes === 0) return undefined;
    const sinceMs = timers.now();
    let held = true;
    const release = (): void => {
      if (!held) return;
      held = false;
      bufferBudget.release(reservedBytes);
      bufferBudget.remove(holder);
    };
    const holder: MemoryHolder = {
      owner,
      reservedBytes,
      isEvictable: () => timers.now() - sinceMs >= STALL_MS,
      evict: () => {
        release();
        callerLosses.record(LossReason.UnreadResponse, owner);
        response.destroy();
      },
    };
    bufferBudget.charge(reservedBytes);
    bufferBudget.add(holder);
    return release;
  }
}
