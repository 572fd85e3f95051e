import type { Evacuations } from "../evacuation/evacuations.js";
import type { Timers } from "../time/timers.js";
import type { UpstreamEntry } from "./upstream-entry.js";

interface Listing {
  readonly entry: UpstreamEntry;
  readonly listedMs: number;
  /** Time at which the removed upstream is dropped; undefined while it is listed. */
  expiresMs: number | undefined;
}

/** What identifies a process of an upstream. */
type ListedProcess = Pick<UpstreamEntry, "id" | "address" | "startedMs">;

/** A change of the listed upstreams; `undefined` marks a removed entry. */
export type EntryChange = readonly [id: string, entry: UpstreamEntry | undefined];

type EvacuationSource = Pick<Evacuations, "isEvacuated" | "dataCentres" | "subscribe">;

interface Parts {
  readonly timers: Timers;
  readonly evacuations?: EvacuationSource;
}

/** The listed upstreams of all services. */
export class UpstreamDirectory {
  private readonly listings = new Map<string, Listing>();
  private byService = new Map<string, UpstreamEntry[]>();
  private byAddress = new Map<string, UpstreamEntry>();

  /** Services of upstreams that are not draining, but all in evacuated data centres. */
  private whollyEvacuated = new Set<string>();

  private constructor(
    private readonly timers: Timers,
    private readonly evacuations: EvacuationSource | undefined,
  ) {
    evacuations?.subscribe(() => {
      this.rebuild();
    });
  }

  static create({ timers, evacuations }: Parts): UpstreamDirectory {
    return new UpstreamDirectory(timers, evacuations);
  }

  find(id: string): UpstreamEntry | undefined {
    return this.listings.get(id)?.entry;
  }

  /** Whether an upstream must get nothing because the operator evacuated its data centre. */
  isEvacuated(id: string): boolean {
    const entry = this.find(id);
    return entry !== undefined && this.isInEvacuated(entry);
  }

  /** Whether any data centre is evacuated. */
  get hasEvacuations(): boolean {
    return (this.evacuations?.dataCentres.length ?? 0) > 0;
  }

  /** Whether a service has upstreams that are not draining, all in evacuated data centres. */
  isWhollyEvacuated(service: string): boolean {
    this.expire();
    return this.whollyEvacuated.has(service);
  }

  /** Number of upstreams that may get work by service; 0 if all of them are evacuated. */
  get servingCounts(): Readonly<Record<string, number>> {
    this.expire();
    const evacuated = [...this.whollyEvacuated].map((service) => [service, 0] as const);
    const serving = [...this.byService].map(([service, { length }]) => [service, length] as const);
    return Object.fromEntries([...serving, ...evacuated]);
  }

  /** All known upstreams, draining ones too, that are in no evacuated data centre. */
  get contactable(): readonly UpstreamEntry[] {
    const entries = [...this.listings.values()].map(({ entry }) => entry);
    return entries.filter((entry) => !this.isInEvacuated(entry));
  }

  /** Whether the process of an upstream is still listed as serving, in no evacuated data centre. */
  isServing({ id, address, startedMs }: ListedProcess): boolean {
    this.expire();
    const entry = this.find(id);
    if (entry === undefined || entry.draining || this.isInEvacuated(entry)) return false;
    return entry.address === address && entry.startedMs === startedMs;
  }

  /** The upstream at an address; if the address was reused, the one that is still listed. */
  findByAddress(address: string): UpstreamEntry | undefined {
    this.expire();
    return this.byAddress.get(address);
  }

  /** All upstreams of a service that are not draining and not evacuated, ordered by ID. */
  forService(service: string): readonly UpstreamEntry[] {
    this.expire();
    return this.byService.get(service) ?? [];
  }

  /** Remaining time in which an upstream is slow after its start, in ms. */
  remainingWarmupMs(id: string): number {
    const listing = this.listings.get(id);
    if (listing === undefined) return 0;
    return Math.max(0, listing.entry.warmupMs - (this.timers.now() - listing.listedMs));
  }

  /** IDs of all known upstreams. */
  get ids(): readonly string[] {
    return [...this.listings.keys()];
  }

  /**
   * Applies changes in order. A removed upstream stays in use for `retentionMs`, or is kept if it
   * is listed again within that time.
   */
  apply(changes: readonly EntryChange[], retentionMs: number): void {
    const now = this.timers.now();
    for (const [id, entry] of changes) {
      const listing = this.listings.get(id);
      if (entry !== undefined)
        this.listings.set(id, { entry, listedMs: now, expiresMs: undefined });
      else if (listing === undefined) continue;
      else if (retentionMs <= 0) this.listings.delete(id);
      else listing.expiresMs ??= now + retentionMs;
    }
    this.rebuild();
  }

  private isInEvacuated({ dataCentre }: UpstreamEntry): boolean {
    return this.evacuations?.isEvacuated(dataCentre) === true;
  }

  private expire(): void {
    const now = this.timers.now();
    let changed = false;
    for (const [id, { expiresMs }] of this.listings) {
      if (expiresMs === undefined || expiresMs > now) continue;
      this.listings.delete(id);
      changed = true;
    }
    if (changed) this.rebuild();
  }

  private rebuild(): void {
    const byService = new Map<string, UpstreamEntry[]>();
    const byAddress = new Map<string, UpstreamEntry>();
    const evacuated = new Set<string>();
    for (const { entry, expiresMs } of this.listings.values()) {
      if (expiresMs === undefined || !byAddress.has(entry.address))
        byAddress.set(entry.address, entry);
      if (entry.draining) continue;
      if (this.isInEvacuated(entry)) {
        evacuated.add(entry.service);
        continue;
      }
      const entries = byService.get(entry.service);
      if (entries === undefined) byService.set(entry.service, [entry]);
      else entries.push(entry);
    }
    for (const entries of byService.values()) entries.sort((a, b) => (a.id < b.id ? -1 : 1));
    this.byService = byService;
    this.byAddress = byAddress;
    for (const service of byService.keys()) evacuated.delete(service);
    this.whollyEvacuated = evacuated;
  }
}
