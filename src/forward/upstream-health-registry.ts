import type { Timers } from "../time/timers.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import { UpstreamHealth } from "./upstream-health.js";

/** Far above the number of upstreams of a deployment, beside those that left. */
const MAX_ENTRIES = 4_096;

/** The standing of each upstream. */
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
    let standing = this.byId.get(id);
    const startedMs = this.directory.find(id)?.startedMs ?? standing?.startedMs ?? 0;
    // An upstream that has started again under its id knows nothing of its troubles before.
    if (standing?.startedMs !== startedMs) {
      if (this.byId.size >= MAX_ENTRIES) this.evictUnlisted();
      standing = UpstreamHealth.create(this.timers, startedMs);
      this.byId.set(id, standing);
    }
    return standing;
  }

  /** The upstreams that take new work and could be reached lately. */
  reachable(entries: readonly UpstreamEntry[]): UpstreamEntry[] {
    return this.available(entries).filter(({ id }) => !this.of(id).backingOff);
  }

  /** The upstreams that take new work, as far as they told. */
  available(entries: readonly UpstreamEntry[]): UpstreamEntry[] {
    return entries.filter(({ id }) => !this.of(id).unavailable);
  }

  /** Time until the first of the upstreams takes new work, in ms; infinite if none will. */
  availableInMs(entries: readonly UpstreamEntry[]): number {
    return Math.min(Infinity, ...entries.map(({ id }) => this.of(id).availableInMs));
  }

  /** The lower median of the ratios; an upstream without fresh results counts as expected. */
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
