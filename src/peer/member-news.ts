import type { RandomSource } from "../random/random-source.js";
import type { Timers } from "../time/timers.js";
import type { Broadcast } from "./broadcast.js";
import { type MemberEntry, supersedes } from "./member-entry.js";
import { ENTRIES_PER_NEWS } from "./spread-item.js";

/** Several members notice the same failure; within this time most learn it from the first one. */
const SPREAD_DELAY_MS = 1_500;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly broadcast: Broadcast;
}

/** Collects changes of members for a random delay and spreads those still unknown to others. */
export class MemberNews {
  private readonly waiting = new Map<string, MemberEntry>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): MemberNews {
    return new MemberNews(parts);
  }

  add(entry: MemberEntry): void {
    if (this.waiting.size === 0) this.wait();
    this.waiting.set(entry.id, entry);
  }

  /** Spreads at once what waits. */
  flush(): void {
    const entries = [...this.waiting.values()];
    this.waiting.clear();
    for (let start = 0; start < entries.length; start += ENTRIES_PER_NEWS) {
      const part = entries.slice(start, start + ENTRIES_PER_NEWS);
      this.parts.broadcast.spread({ kind: "members", entries: part });
    }
  }

  /** Drops what another instance has spread already. */
  known(entry: MemberEntry): void {
    const waiting = this.waiting.get(entry.id);
    if (waiting !== undefined && !supersedes(waiting, entry)) this.waiting.delete(entry.id);
  }

  private wait(): void {
    const { timers, random } = this.parts;
    timers.after(random.fraction() * SPREAD_DELAY_MS, () => {
      this.flush();
    });
  }
}
