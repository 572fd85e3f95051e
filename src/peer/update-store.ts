import type { Timers } from "../time/timers.js";
import type { SpreadItem } from "./spread-item.js";

/** Time for which an update is offered to heartbeat partners that lack it. */
const REPAIR_MS = 120_000;
/** Time left to the broadcast before an update is offered, so that repairs do not race with it. */
const REPAIR_AFTER_MS = 1_000;
/** Bounds memory; a burst of more updates is repaired from its newest part only. */
const MAX_KEPT = 512;
/** Ids are remembered longer than updates, so that a late copy is not delivered again. */
const MAX_IDS = 8_192;

interface Kept {
  readonly item: SpreadItem;
  readonly sinceMs: number;
}

/** Updates that reached this instance lately. */
export class UpdateStore {
  private readonly kept = new Map<string, Kept>();
  private readonly ids = new Set<string>();
  private readonly passedIds = new Set<string>();
  private next = 0;

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): UpdateStore {
    return new UpdateStore(timers);
  }

  /** Keeps an update; returns false if it was kept before. */
  add(id: string, item: SpreadItem): boolean {
    if (this.ids.has(id)) return false;
    this.ids.add(id);
    if (this.ids.size > MAX_IDS) removeFirst(this.ids);
    // Missed news of members are repaired by comparing whole views.
    if (item.kind === "members") return true;
    this.kept.set(id, { item, sinceMs: this.timers.now() });
    if (this.kept.size > MAX_KEPT) removeFirst(this.kept);
    return true;
  }

  /** Notes that an update is passed on; returns false if it was passed on before. */
  addPassed(id: string): boolean {
    if (this.passedIds.has(id)) return false;
    this.passedIds.add(id);
    if (this.passedIds.size > MAX_IDS) removeFirst(this.passedIds);
    return true;
  }

  find(id: string): SpreadItem | undefined {
    return this.kept.get(id)?.item;
  }

  /** Up to `count` ids; successive calls go through all kept updates. */
  digest(count: number): string[] {
    const oldest = this.timers.now() - REPAIR_MS;
    for (const [id, { sinceMs }] of this.kept) {
      if (sinceMs >= oldest) break;
      this.kept.delete(id);
    }
    const newest = this.timers.now() - REPAIR_AFTER_MS;
    const all = [...this.kept].flatMap(([id, { sinceMs }]) => (sinceMs <= newest ? [id] : []));
    if (all.length <= count) return all;
    const start = this.next % all.length;
    this.next = start + count;
    return [...all.slice(start), ...all.slice(0, start)].slice(0, count);
  }

  lacking(ids: readonly string[]): string[] {
    return ids.filter((id) => !this.ids.has(id));
  }
}

function removeFirst(collection: Map<string, unknown> | Set<string>): void {
  for (const key of collection.keys()) {
    collection.delete(key);
    return;
  }
}
