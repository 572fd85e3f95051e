import type { Timers } from "../time/timers.js";

/** Time before the probable end of a call at which the next one is sent: a round trip. */
const LEAD_MS = 25;
/** Calls sent to an upstream beyond those that it runs at once. */
const MOST_AHEAD = 1;

interface RunningCall {
  /** Time at which it probably ends, on the monotonic clock in ms. */
  readonly endMs: number;
}

/** The calls in progress at each upstream of a stage service. */
export class RunningCalls {
  private readonly byUpstream = new Map<string, RunningCall[]>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): RunningCalls {
    return new RunningCalls(timers);
  }

  /** Upstreams with a call in progress. */
  get busy(): number {
    return this.byUpstream.size;
  }

  /** Whether the upstream is idle, or will be when a call reaches it. */
  isFree(id: string, callsAtOnce: number): boolean {
    const calls = this.byUpstream.get(id) ?? [];
    if (calls.length >= callsAtOnce + MOST_AHEAD) return false;
    const now = this.timers.now();
    // A call that is overdue shows that the upstream is slow or hangs.
    const held = calls.filter(({ endMs }) => Math.abs(endMs - now) > LEAD_MS);
    return held.length < callsAtOnce;
  }

  /**
   * Counts a call that probably takes `expectedMs`, until the returned function is called; calls
   * `freeSoon` when the next one may be sent.
   */
  begin(id: string, callsAtOnce: number, expectedMs: number, freeSoon: () => void): () => void {
    const { timers } = this;
    const before = this.byUpstream.get(id) ?? [];
    const ends = before.map(({ endMs }) => endMs).sort((a, b) => b - a);
    const startMs = Math.max(timers.now(), ends[callsAtOnce - 1] ?? 0);
    const call: RunningCall = { endMs: startMs + expectedMs };
    this.byUpstream.set(id, [...before, call]);
    const next = timers.after(Math.max(0, call.endMs - LEAD_MS - timers.now()), freeSoon);
    return () => {
      next.cancel();
      const left = (this.byUpstream.get(id) ?? []).filter((each) => each !== call);
      if (left.length === 0) this.byUpstream.delete(id);
      else this.byUpstream.set(id, left);
    };
  }
}
