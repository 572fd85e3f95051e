import type { Timers } from "../time/timers.js";

/** Time before the expected end of a call at which the next one is sent; about a round trip. */
const SEND_AHEAD_MS = 25;
/** Calls sent to an upstream beyond those that it runs at the same time. */
const MAX_CALLS_AHEAD = 1;

interface RunningCall {
  /** Expected end on the monotonic clock, in ms. */
  readonly expectedEndMs: number;
}

/** The calls in progress at each upstream of a stage service. */
export class RunningCalls {
  private readonly byUpstream = new Map<string, RunningCall[]>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): RunningCalls {
    return new RunningCalls(timers);
  }

  /** Upstreams with a call in progress. */
  get busyUpstreams(): number {
    return this.byUpstream.size;
  }

  /** Whether the upstream is idle, or will be when a call reaches it. */
  canAccept(id: string, maxCalls: number): boolean {
    const calls = this.byUpstream.get(id) ?? [];
    if (calls.length >= maxCalls + MAX_CALLS_AHEAD) return false;
    const now = this.timers.now();
    // An overdue call still counts, as it shows that the upstream is slow or hangs.
    const active = calls.filter(
      ({ expectedEndMs }) => Math.abs(expectedEndMs - now) > SEND_AHEAD_MS,
    );
    return active.length < maxCalls;
  }

  /**
   * Registers a call that probably takes `expectedMs`; the returned function ends it. Calls
   * `onCanAccept` when the next call may be sent.
   */
  begin(id: string, maxCalls: number, expectedMs: number, onCanAccept: () => void): () => void {
    const { timers } = this;
    const earlier = this.byUpstream.get(id) ?? [];
    const endTimesMs = earlier.map(({ expectedEndMs }) => expectedEndMs).sort((a, b) => b - a);
    const startMs = Math.max(timers.now(), endTimesMs[maxCalls - 1] ?? 0);
    const call: RunningCall = { expectedEndMs: startMs + expectedMs };
    this.byUpstream.set(id, [...earlier, call]);
    const timer = timers.after(
      Math.max(0, call.expectedEndMs - SEND_AHEAD_MS - timers.now()),
      onCanAccept,
    );
    return () => {
      timer.cancel();
      const remaining = (this.byUpstream.get(id) ?? []).filter((each) => each !== call);
      if (remaining.length === 0) this.byUpstream.delete(id);
      else this.byUpstream.set(id, remaining);
    };
  }
}
