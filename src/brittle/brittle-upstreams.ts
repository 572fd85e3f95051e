import { LRUCache } from "lru-cache";
import type { DecisionLines } from "../forward/decision-lines.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { UpstreamHealth } from "../forward/upstream-health.js";
import type { Updates } from "../peer/updates.js";
import type { Timers } from "../time/timers.js";

/** Time over which an upstream counts the requests that it turns away. */
const COUNTED_MS = 1_000;
/**
 * Time for which a statement holds for the service. A process that has just started states nothing
 * before its first response, and would end again until then.
 */
const STATEMENT_LIFETIME_MS = 10_000;
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

/**
 * Services whose upstreams end when they turn too many requests away. Each instance uses its part of
 * their places only, and all pause together after a rejection.
 */
export class BrittleUpstreams {
  /** Times of the last statements by service, on the monotonic clock in ms. */
  private readonly statedMs = new Map<string, number>();
  /** Times until which processes get nothing, on the monotonic clock in ms. */
  private readonly closedUntilMs = new LRUCache<string, number>({ max: MAX_UPSTREAMS });

  private constructor(private readonly parts: Parts) {
    parts.updates.subscribe((update) => {
      if (update.kind !== "upstream-full") return;
      this.statedMs.set(update.service, parts.timers.now());
      this.close({ id: update.upstream, ...update });
    });
  }

  static create(parts: Parts): BrittleUpstreams {
    return new BrittleUpstreams(parts);
  }

  /** `tolerated` is undefined if the upstream does not state that it is brittle. */
  recordResponse({ service }: Upstream, tolerated: number | undefined): void {
    if (tolerated !== undefined) this.statedMs.set(service, this.parts.timers.now());
  }

  /** Records that an upstream had no room for a request, and tells all instances. */
  recordRejection(upstream: Upstream): void {
    const { id, service, startedMs } = upstream;
    if (!this.isBrittle(service)) return;
    const { updates, decisionLines } = this.parts;
    const known = this.isPaused(upstream);
    this.close(upstream);
    if (known) return;
    updates.publish({ kind: "upstream-full", service, upstream: id, startedMs });
    decisionLines.write("brittle upstream full", { upstream: id, service });
  }

  /** Whether an upstream must not get a further request of this instance now. */
  isClosed(entry: UpstreamEntry, { inFlight }: UpstreamHealth): boolean {
    if (!this.isBrittle(entry.service)) return false;
    const instances = Math.max(1, this.parts.liveInstances());
    const part = Math.max(1, Math.floor(entry.slots / instances));
    return inFlight >= part || this.isPaused(entry);
  }

  private isBrittle(service: string): boolean {
    const statedMs = this.statedMs.get(service);
    return statedMs !== undefined && this.parts.timers.now() - statedMs < STATEMENT_LIFETIME_MS;
  }

  private isPaused(upstream: Upstream): boolean {
    return this.parts.timers.now() < (this.closedUntilMs.get(processOf(upstream)) ?? -Infinity);
  }

  private close(upstream: Upstream): void {
    this.closedUntilMs.set(processOf(upstream), this.parts.timers.now() + COUNTED_MS);
  }
}

function processOf({ id, startedMs }: Upstream): string {
  return `${id} ${startedMs}`;
}
