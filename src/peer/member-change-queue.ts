import { z } from "zod";
import type { RandomSource } from "../random/random-source.js";
import type { PeerSettings } from "./peer-settings.js";
import type { Timers } from "../time/timers.js";
import type { Broadcast } from "./broadcast.js";
import { type MemberEntry, memberEntrySchema, supersedes } from "./member-entry.js";
import type { MemberTable } from "./member-table.js";
import type { PeerCalls } from "./peer-calls.js";
import { PeerMethod } from "./peer-method.js";
import type { PeerMethods } from "./peer-methods.js";
import { ringPosition } from "./ring.js";
import { MAX_ENTRIES_PER_MESSAGE } from "./broadcast-item.js";

/** Several members detect the same failure; within this delay most learn it from the first one. */
const MAX_BROADCAST_DELAY_MS = 1_500;
/** Members that broadcast the changes of all others, so that many changes share a broadcast. */
const COLLECTOR_COUNT = 4;
const COLLECTOR_TIMEOUT_MS = 1_000;
/** Collectors that are tried before a member broadcasts a change itself. */
const MAX_COLLECTORS_TRIED = 2;

const memberChangesSchema = z.object({
  entries: z.array(memberEntrySchema).max(MAX_ENTRIES_PER_MESSAGE),
});

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly settings: PeerSettings;
  readonly broadcast: Broadcast;
  readonly memberTable: MemberTable;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
}

/**
 * Collects changes of members for a short time and broadcasts those that no other instance has
 * broadcast meanwhile. In a large fleet a change goes to one of a few collectors first: a broadcast
 * for each of hundreds of members that start or return together would cost each daemon tens of KB
 * per second.
 */
export class MemberChangeQueue {
  private readonly pending = new Map<string, MemberEntry>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): MemberChangeQueue {
    const queue = new MemberChangeQueue(parts);
    parts.peerMethods.register(PeerMethod.MemberChanges, (params) => {
      for (const entry of memberChangesSchema.parse(params).entries) {
        parts.memberTable.merge(entry, false);
        queue.enqueue(newestEntry(parts.memberTable, entry));
      }
      return Promise.resolve(true);
    });
    return queue;
  }

  add(entry: MemberEntry): void {
    if (this.parts.memberTable.isFullMesh) this.enqueue(entry);
    else void this.sendToCollector(entry);
  }

  /** Broadcasts the pending changes at once. */
  async flush(): Promise<void> {
    const entries = [...this.pending.values()];
    this.pending.clear();
    const batches: MemberEntry[][] = [];
    while (entries.length > 0) batches.push(entries.splice(0, MAX_ENTRIES_PER_MESSAGE));
    const { broadcast } = this.parts;
    await Promise.all(batches.map((batch) => broadcast.send({ kind: "members", entries: batch })));
  }

  /** Broadcasts a change at once, without a collector. */
  async broadcastNow(entry: MemberEntry): Promise<void> {
    this.pending.set(entry.id, entry);
    await this.flush();
  }

  /** Drops the pending change of a member if a broadcast entry is at least as new. */
  dropSuperseded(entry: MemberEntry): void {
    const pending = this.pending.get(entry.id);
    if (pending !== undefined && !supersedes(pending, entry)) this.pending.delete(entry.id);
  }

  private enqueue(entry: MemberEntry): void {
    const { timers, random } = this.parts;
    if (this.pending.size === 0) {
      timers.after(random.fraction() * MAX_BROADCAST_DELAY_MS, () => {
        void this.flush();
      });
    }
    this.pending.set(entry.id, entry);
  }

  /** All changes of one member go to the same collector, which drops duplicates. */
  private async sendToCollector(entry: MemberEntry): Promise<void> {
    const { memberTable, peerCalls } = this.parts;
    const first = Number.parseInt(ringPosition(entry.id).slice(0, 1), 16) % COLLECTOR_COUNT;
    for (let index = first; index < first + MAX_COLLECTORS_TRIED; index += 1) {
      const [collector] = memberTable.ring.successors(`collector-${index % COLLECTOR_COUNT}`, 1);
      if (collector === undefined || collector === memberTable.self) break;
      try {
        await peerCalls.call(
          collector,
          PeerMethod.MemberChanges,
          { entries: [entry] },
          COLLECTOR_TIMEOUT_MS,
        );
        return;
      } catch {
        // Try the next collector.
      }
    }
    this.enqueue(entry);
  }
}

/** The known entry of the same member if it supersedes `entry`, otherwise `entry`. */
function newestEntry(memberTable: MemberTable, entry: MemberEntry): MemberEntry {
  const { self, own } = memberTable;
  const known = entry.id === self ? own : memberTable.record(entry.id)?.entry;
  return known !== undefined && supersedes(known, entry) ? known : entry;
}
