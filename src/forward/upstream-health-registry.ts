import type { Timers } from "../time/timers.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import { UpstreamHealth } from "./upstream-health.js";

/** Far above the number of upstreams of a deployment; leaves room for removed ones. */
const MAX_ENTRIES = 4_096;

/** The health of each upstream by ID. */
export class UpstreamHealthRegistry {
  private readonly byId = new Map<string, UpstreamHealth>();

  private constructor(
    private readonly timers: Timers,
    private readonly directory: UpstreamDirectory,
  ) {}

  static create(parts: { timers: Timers; directory: UpstreamDirectory }): UpstreamHealthRegistry {
    return new UpstreamHealthRegistry(parts.timers, parts.directory);
  }

  of(id: string): UpstreamHealth {
    let health = this.byId.get(id);
    const startedMs = this.directory.find(id)?.startedMs ?? health?.startedMs ?? 0;
    // The health of an earlier process does not apply to a restarted upstream with the same ID.
    if (health?.startedMs !== startedMs) {
      if (this.byId.size >= MAX_ENTRIES) this.evictUnlisted();
      health = UpstreamHealth.create(this.timers, startedMs);
      this.byId.set(id, health);
    }
    return health;
  }

  /** The upstreams that accept new work and are not backing off. */
  reachable(entries: readonly UpstreamEntry[]): UpstreamEntry[] {
    return this.available(entries).filter(({ id }) => !this.of(id).backingOff);
  }

  /** The upstreams that have not declared themselves unavailable. */
  available(entries: readonly UpstreamEntry[]): UpstreamEntry[] {
    return entries.filter(({ id }) => !this.of(id).unavailable);
  }

  /** Time until the first of the upstreams accepts new work, in ms; infinite if none will. */
  availableInMs(entries: readonly UpstreamEntry[]): number {
    return Math.min(Infinity, ...entries.map(({ id }) => this.of(id).availableInMs));
  }

  /** The lower median of the latency ratios; 1 for an upstream without recent results. */
  medianLatencyRatio(entries: readonly UpstreamEntry[]): number {
    const ratios = entries.map(({ id }) => this.of(id).latencyRatio ?? 1).sort((a, b) => a - b);
    return ratios[Math.floor((ratios.length - 1) / 2)] ?? 1;
  }

  private evictUnlisted(): void {
    const listed = new Set(this.directory.ids);
    for (const [id, { inFlight }] of this.byId) {
      if (inFlight === 0 && !listed.has(id)) this.byId.delete(id);
    }
  }
}
