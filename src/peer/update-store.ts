import type { Timers } from "../time/timers.js";
import type { BroadcastItem } from "./broadcast-item.js";

/** Time for which an update is offered in heartbeats to instances that lack it. */
const REPAIR_RETENTION_MS = 120_000;
/** Delay before an update is offered, so that repairs do not race with the broadcast. */
const REPAIR_DELAY_MS = 1_000;
/** Bounds memory; of a burst of more updates, only the newest ones are repaired. */
const MAX_STORED_UPDATES = 512;
/** Ids are remembered longer than updates, so that a late copy is not delivered again. */
const MAX_IDS = 8_192;

interface StoredItem {
  readonly item: BroadcastItem;
  readonly addedMs: number;
}

/** Updates that reached this instance recently. */
export class UpdateStore {
  private readonly stored = new Map<string, StoredItem>();
  private readonly ids = new Set<string>();
  private readonly forwardedIds = new Set<string>();
  private nextIndex = 0;

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): UpdateStore {
    return new UpdateStore(timers);
  }

  /** Stores an item; returns false if its id is already known. */
  add(id: string, item: BroadcastItem): boolean {
    if (this.ids.has(id)) return false;
    this.ids.add(id);
    if (this.ids.size > MAX_IDS) removeFirst(this.ids);
    // Missed changes of members are repaired by comparing whole views.
    if (item.kind === "members") return true;
    this.stored.set(id, { item, addedMs: this.timers.now() });
    if (this.stored.size > MAX_STORED_UPDATES) removeFirst(this.stored);
    return true;
  }

  /** Records that an item is forwarded; returns false if it was forwarded before. */
  addForwarded(id: string): boolean {
    if (this.forwardedIds.has(id)) return false;
    this.forwardedIds.add(id);
    if (this.forwardedIds.size > MAX_IDS) removeFirst(this.forwardedIds);
    return true;
  }

  /** The updates that are stored, oldest first. */
  get items(): readonly (readonly [id: string, item: BroadcastItem])[] {
    return [...this.stored].map(([id, { item }]) => [id, item]);
  }

  find(id: string): BroadcastItem | undefined {
    return this.stored.get(id)?.item;
  }

  /** Up to `count` ids to offer; successive calls go through all stored updates. */
  selectIds(count: number): string[] {
    const oldest = this.timers.now() - REPAIR_RETENTION_MS;
    for (const [id, { addedMs }] of this.stored) {
      if (addedMs >= oldest) break;
      this.stored.delete(id);
    }
    const newest = this.timers.now() - REPAIR_DELAY_MS;
    const all = [...this.stored].flatMap(([id, { addedMs }]) => (addedMs <= newest ? [id] : []));
    if (all.length <= count) return all;
    const start = this.nextIndex % all.length;
    this.nextIndex = start + count;
    return [...all.slice(start), ...all.slice(0, start)].slice(0, count);
  }

  findMissing(ids: readonly string[]): string[] {
    return ids.filter((id) => !this.ids.has(id));
  }
}

function removeFirst(collection: Map<string, unknown> | Set<string>): void {
  for (const key of collection.keys()) {
    collection.delete(key);
    return;
  }
}
