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
import { ENTRIES_PER_NEWS } from "./spread-item.js";

/** Several members notice the same failure; within this time most learn it from the first one. */
const SPREAD_DELAY_MS = 1_500;
/** Members that spread the news of all others, so that many changes share a broadcast. */
const COLLECTORS = 4;
const COLLECT_MS = 1_000;
/** Collectors that are tried before a member spreads its news itself. */
const TRIED_COLLECTORS = 2;

const newsSchema = z.object({ entries: z.array(memberEntrySchema).max(ENTRIES_PER_NEWS) });

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
 * Collects changes of members for a short time and spreads those still unknown to others. In a
 * large fleet a change goes to one of a few collectors first: a broadcast for each of hundreds of
 * members that start or come back together would cost each daemon tens of KB per second.
 */
export class MemberNews {
  private readonly waiting = new Map<string, MemberEntry>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): MemberNews {
    const news = new MemberNews(parts);
    parts.peerMethods.register(PeerMethod.MemberNews, (params) => {
      for (const entry of newsSchema.parse(params).entries) {
        parts.memberTable.learn(entry, false);
        news.wait(newest(parts.memberTable, entry));
      }
      return Promise.resolve(true);
    });
    return news;
  }

  add(entry: MemberEntry): void {
    if (this.parts.memberTable.meshed) this.wait(entry);
    else void this.collect(entry);
  }

  /** Spreads at once what waits. */
  async flush(): Promise<void> {
    const entries = [...this.waiting.values()];
    this.waiting.clear();
    const parts: MemberEntry[][] = [];
    while (entries.length > 0) parts.push(entries.splice(0, ENTRIES_PER_NEWS));
    const { broadcast } = this.parts;
    await Promise.all(parts.map((part) => broadcast.spread({ kind: "members", entries: part })));
  }

  /** Spreads a change at once, without a collector. */
  async spread(entry: MemberEntry): Promise<void> {
    this.waiting.set(entry.id, entry);
    await this.flush();
  }

  /** Drops what another instance has spread already. */
  known(entry: MemberEntry): void {
    const waiting = this.waiting.get(entry.id);
    if (waiting !== undefined && !supersedes(waiting, entry)) this.waiting.delete(entry.id);
  }

  private wait(entry: MemberEntry): void {
    const { timers, random } = this.parts;
    if (this.waiting.size === 0) {
      timers.after(random.fraction() * SPREAD_DELAY_MS, () => {
        void this.flush();
      });
    }
    this.waiting.set(entry.id, entry);
  }

  /** All news of one member go to the same collector, which drops repeated ones. */
  private async collect(entry: MemberEntry): Promise<void> {
    const { memberTable, peerCalls } = this.parts;
    const first = Number.parseInt(ringPosition(entry.id).slice(0, 1), 16) % COLLECTORS;
    for (let at = first; at < first + TRIED_COLLECTORS; at += 1) {
      const [collector] = memberTable.ring.successors(`collector-${at % COLLECTORS}`, 1);
      if (collector === undefined || collector === memberTable.self) break;
      try {
        await peerCalls.call(collector, PeerMethod.MemberNews, { entries: [entry] }, COLLECT_MS);
        return;
      } catch {
        // The next collector is tried.
      }
    }
    this.wait(entry);
  }
}

/** What is known of the entry's member, if it supersedes the entry. */
function newest(memberTable: MemberTable, entry: MemberEntry): MemberEntry {
  const { self, own } = memberTable;
  const known = entry.id === self ? own : memberTable.record(entry.id)?.entry;
  return known !== undefined && supersedes(known, entry) ? known : entry;
}
