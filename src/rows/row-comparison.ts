import type { Timers } from "../time/timers.js";

/** Time between two comparisons with instances that are ahead, so that reads can end. */
const MIN_INTERVAL_MS = 3_000;

/**
 * Decides when an instance compares its rows with those of another one: once after the start, as it
 * would know the copy only if the store has come back from one, and when another instance is ahead.
 */
export class RowComparison {
  private compared = false;
  private aheadPeer: string | undefined;
  private lastRequestMs = -Infinity;
  private interruption = new AbortController();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): RowComparison {
    return new RowComparison(timers);
  }

  get isDue(): boolean {
    return !this.compared || this.aheadPeer !== undefined;
  }

  /** Aborts when another instance is ahead; the answer to the present read is not used then. */
  get interrupted(): AbortSignal {
    return this.interruption.signal;
  }

  /** Requests a comparison with an instance that is ahead; there must be rows to compare. */
  request(peer: string): void {
    const now = this.timers.now();
    if (now - this.lastRequestMs < MIN_INTERVAL_MS) return;
    this.lastRequestMs = now;
    this.aheadPeer = peer;
    this.interruption.abort(new Error("another instance is ahead"));
  }

  /** Begins a comparison: with the instance that is ahead, or the given one. */
  begin(otherPeer: string | undefined): string | undefined {
    const peer = this.aheadPeer ?? otherPeer;
    if (peer === undefined) return undefined;
    this.compared = true;
    this.aheadPeer = undefined;
    this.interruption = new AbortController();
    return peer;
  }
}
