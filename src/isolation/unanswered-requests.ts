import type { Timers } from "../time/timers.js";

/** A request that an upstream has not begun to answer. */
interface UnansweredRequest {
  readonly upstream: string;
  /** Time at which it was sent, on the monotonic clock in ms. */
  readonly sentMs: number;
}

/** The requests that wait for upstreams, and the time at which any upstream was last heard. */
export class UnansweredRequests {
  private readonly requests = new Set<UnansweredRequest>();
  private lastReceivedMs = -Infinity;

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): UnansweredRequests {
    return new UnansweredRequests(timers);
  }

  /** Adds a request to an upstream; the returned function removes it. */
  add(upstream: string): () => void {
    const request = { upstream, sentMs: this.timers.now() };
    this.requests.add(request);
    return () => {
      this.requests.delete(request);
    };
  }

  /** Records that an upstream sent anything. */
  recordReceived(): void {
    this.lastReceivedMs = this.timers.now();
  }

  /** Number of upstreams that have had a request for `ms` in which no upstream was heard. */
  silentUpstreams(ms: number): number {
    const untilMs = this.timers.now() - ms;
    if (this.lastReceivedMs > untilMs) return 0;
    const silent = [...this.requests].filter(({ sentMs }) => sentMs <= untilMs);
    return new Set(silent.map(({ upstream }) => upstream)).size;
  }
}
