import type { Timers } from "../time/timers.js";
import type { UpstreamEntry } from "./upstream-entry.js";

interface Listing {
  readonly entry: UpstreamEntry;
  readonly learnedMs: number;
  /** Time from which the upstream counts as gone; undefined while it is listed. */
  expiresMs: number | undefined;
}

/** A change of the listed upstreams; an entry of undefined was removed. */
export type EntryChange = readonly [id: string, entry: UpstreamEntry | undefined];

/** The listed upstreams of all services. */
export class UpstreamDirectory {
  private readonly listings = new Map<string, Listing>();
  private byService = new Map<string, UpstreamEntry[]>();

  private constructor(private readonly timers: Timers) {}

  static create(parts: { timers: Timers }): UpstreamDirectory {
    return new UpstreamDirectory(parts.timers);
  }

  find(id: string): UpstreamEntry | undefined {
    return this.listings.get(id)?.entry;
  }

  /** All upstreams of a service that may get new work, ordered by id. */
  forService(service: string): readonly UpstreamEntry[] {
    this.expire();
    return this.byService.get(service) ?? [];
  }

  /** Time for which an upstream is still slow after its start, in ms. */
  remainingWarmupMs(id: string): number {
    const known = this.listings.get(id);
    if (known === undefined) return 0;
    return Math.max(0, known.entry.coldMs - (this.timers.now() - known.learnedMs));
  }

  /** Ids of all listed upstreams. */
  get ids(): readonly string[] {
    return [...this.listings.keys()];
  }

  /**
   * Takes over changes in their order. A removed upstream is used for `keptMs` longer, unless it
   * is listed again.
   */
  apply(changes: readonly EntryChange[], retentionMs: number): void {
    const now = this.timers.now();
    for (const [id, entry] of changes) {
      const known = this.listings.get(id);
      if (entry !== undefined)
        this.listings.set(id, { entry, learnedMs: now, expiresMs: undefined });
      else if (known === undefined) continue;
      else if (retentionMs <= 0) this.listings.delete(id);
      else known.expiresMs ??= now + retentionMs;
    }
    this.rebuild();
  }

  private expire(): void {
    const now = this.timers.now();
    let changed = false;
    for (const [id, { expiresMs: goneMs }] of this.listings) {
      if (goneMs === undefined || goneMs > now) continue;
      this.listings.delete(id);
      changed = true;
    }
    if (changed) this.rebuild();
  }

  private rebuild(): void {
    const byService = new Map<string, UpstreamEntry[]>();
    for (const { entry } of this.listings.values()) {
      if (entry.draining) continue;
      const list = byService.get(entry.service);
      if (list === undefined) byService.set(entry.service, [entry]);
      else list.push(entry);
    }
    for (const list of byService.values()) list.sort((a, b) => (a.id < b.id ? -1 : 1));
    this.byService = byService;
  }
}
