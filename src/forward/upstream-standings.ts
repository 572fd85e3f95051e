import type { Timers } from "../time/timers.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import { UpstreamStanding } from "./upstream-standing.js";

/** Far above the number of upstreams of a deployment, beside those that left. */
const MOST_STANDINGS = 4_096;

/** The standing of each upstream. */
export class UpstreamStandings {
  private readonly byId = new Map<string, UpstreamStanding>();

  private constructor(
    private readonly timers: Timers,
    private readonly directory: UpstreamDirectory,
  ) {}

  static create(parts: { timers: Timers; directory: UpstreamDirectory }): UpstreamStandings {
    return new UpstreamStandings(parts.timers, parts.directory);
  }

  of(id: string): UpstreamStanding {
    let standing = this.byId.get(id);
    const startedMs = this.directory.find(id)?.startedMs ?? standing?.startedMs ?? 0;
    // An upstream that has started again under its id knows nothing of its troubles before.
    if (standing?.startedMs !== startedMs) {
      if (this.byId.size >= MOST_STANDINGS) this.dropUnlisted();
      standing = UpstreamStanding.create(this.timers, startedMs);
      this.byId.set(id, standing);
    }
    return standing;
  }

  /** The upstreams that take new work and could be reached lately. */
  reachable(entries: readonly UpstreamEntry[]): UpstreamEntry[] {
    return this.open(entries).filter(({ id }) => !this.of(id).avoided);
  }

  /** The upstreams that take new work, as far as they told. */
  open(entries: readonly UpstreamEntry[]): UpstreamEntry[] {
    return entries.filter(({ id }) => !this.of(id).closed);
  }

  /** Time until the first of the upstreams takes new work, in ms; infinite if none will. */
  opensInMs(entries: readonly UpstreamEntry[]): number {
    return Math.min(Infinity, ...entries.map(({ id }) => this.of(id).opensInMs));
  }

  /** The lower median of the ratios; an upstream without fresh results counts as expected. */
  typicalRatio(entries: readonly UpstreamEntry[]): number {
    const ratios = entries.map(({ id }) => this.of(id).ratio ?? 1).sort((a, b) => a - b);
    return ratios[Math.floor((ratios.length - 1) / 2)] ?? 1;
  }

  private dropUnlisted(): void {
    const listed = new Set(this.directory.ids);
    for (const [id, { inFlight }] of this.byId) {
      if (inFlight === 0 && !listed.has(id)) this.byId.delete(id);
    }
  }
}
