import { LRUCache } from "lru-cache";
import type { DecisionLines } from "../forward/decision-lines.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { UpstreamHealth } from "../forward/upstream-health.js";
import type { Updates } from "../peer/updates.js";
import type { Timers } from "../time/timers.js";

/** Time over which an upstream counts the requests that it turns away. */
const COUNTED_MS = 1_000;
/** Far above the number of upstreams of a deployment. */
const MAX_UPSTREAMS = 4_096;

interface Parts {
  readonly timers: Timers;
  readonly updates: Updates;
  /** Number of instances that share the upstreams, this one included. */
  readonly liveInstances: () => number;
  readonly decisionLines: DecisionLines;
}

type Upstream = Pick<UpstreamEntry, "id" | "service" | "startedMs">;

interface Brittleness {
  readonly startedMs: number;
  /** Requests turned away in a second that the upstream bears. */
  readonly tolerated: number;
  /** Time until which it gets nothing, on the monotonic clock in ms. */
  closedUntilMs: number;
}

/**
 * Upstreams that end when they turn too many requests away. Each instance uses its part of their
 * places only, and all pause together after a rejection.
 */
export class BrittleUpstreams {
  private readonly byId = new LRUCache<string, Brittleness>({ max: MAX_UPSTREAMS });

  private constructor(private readonly parts: Parts) {
    parts.updates.subscribe((update) => {
      if (update.kind !== "upstream-full") return;
      const { upstream, startedMs, tolerated } = update;
      const brittleness = this.byId.get(upstream) ?? this.add(upstream, startedMs, tolerated);
      if (brittleness.startedMs === startedMs) this.close(brittleness);
    });
  }

  static create(parts: Parts): BrittleUpstreams {
    return new BrittleUpstreams(parts);
  }

  /** Records what a response states; `tolerated` is undefined if the upstream is not brittle. */
  recordResponse({ id, startedMs }: Upstream, tolerated: number | undefined): void {
    const known = this.byId.get(id);
    if (tolerated === undefined) {
      if (known !== undefined) this.byId.delete(id);
    } else if (known?.startedMs !== startedMs || known.tolerated !== tolerated)
      this.add(id, startedMs, tolerated);
  }

  /** Records that an upstream had no room for a request, and tells all instances. */
  recordRejection({ id, service, startedMs }: Upstream): void {
    const brittleness = this.byId.get(id);
    if (brittleness?.startedMs !== startedMs) return;
    const { updates, decisionLines, timers } = this.parts;
    const { tolerated, closedUntilMs } = brittleness;
    this.close(brittleness);
    // The others have been told already.
    if (closedUntilMs > timers.now()) return;
    updates.publish({ kind: "upstream-full", upstream: id, startedMs, tolerated });
    decisionLines.write("brittle upstream full", { upstream: id, service, tolerated });
  }

  /** Whether an upstream must not get a further request of this instance now. */
  isClosed({ id, slots, startedMs }: UpstreamEntry, { inFlight }: UpstreamHealth): boolean {
    const brittleness = this.byId.get(id);
    if (brittleness?.startedMs !== startedMs) return false;
    const { timers, liveInstances } = this.parts;
    const part = Math.max(1, Math.floor(slots / Math.max(1, liveInstances())));
    return timers.now() < brittleness.closedUntilMs || inFlight >= part;
  }

  private add(id: string, startedMs: number, tolerated: number): Brittleness {
    const brittleness = { startedMs, tolerated, closedUntilMs: -Infinity };
    this.byId.set(id, brittleness);
    return brittleness;
  }

  private close(brittleness: Brittleness): void {
    brittleness.closedUntilMs = this.parts.timers.now() + COUNTED_MS;
  }
}
