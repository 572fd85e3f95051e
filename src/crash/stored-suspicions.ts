import type { CrashRegistry } from "../forward/crash-registry.js";
import type { DecisionLines } from "../forward/decision-lines.js";
import type { RowFeed } from "../forward/row-feed.js";
import { StoreTable } from "../forward/store-table.js";
import { rendezvousMember } from "../order/rendezvous.js";
import { aliveMembers } from "../peer/alive-members.js";
import type { Members } from "../peer/members.js";
import type { RandomSource } from "../random/random-source.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import { type ContentSuspicion, contentSuspicionSchema } from "./content-suspicion.js";
import { decodeExpiring, encodeExpiring } from "./expiring-items.js";

/** In the table of convictions, where instances of earlier versions pass over it. */
const ROW_KEY = "request-contents";
/** Bounds the row to half of the size that the store accepts. */
const MAX_STORED = 256;
/** Collects the crashes that one lost upstream causes. */
const WRITE_DELAY_MS = 300;
/** Time after which another instance writes what the elected one has not written. */
const TAKEOVER_MS = 3_000;
const RETRY_MS = 2_000;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly self: string;
  readonly members: Members;
  readonly rowFeed: RowFeed;
  readonly crashRegistry: CrashRegistry;
  readonly decisionLines: DecisionLines;
}

/**
 * Keeps suspicions of contents in the store, for instances that start later and after a loss of
 * all. One instance writes them for all; one that reported a crash takes over if it does not.
 */
export class StoredSuspicions {
  private timer: Subscription | undefined;
  private dueMs = Infinity;
  private stopped = false;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StoredSuspicions {
    return new StoredSuspicions(parts);
  }

  start(): void {
    const { crashRegistry, random } = this.parts;
    crashRegistry.onCrash((isOwn) => {
      if (this.isElected) this.schedule(WRITE_DELAY_MS);
      else if (isOwn) this.schedule(TAKEOVER_MS * (1 + random.fraction()));
    });
    void this.synchronize();
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  private get isElected(): boolean {
    const { self, members } = this.parts;
    return rendezvousMember(ROW_KEY, [self, ...aliveMembers(members).map(({ id }) => id)]) === self;
  }

  private schedule(delayMs: number): void {
    const { timers } = this.parts;
    const dueMs = timers.now() + delayMs;
    if (this.stopped || this.dueMs <= dueMs) return;
    this.timer?.cancel();
    this.dueMs = dueMs;
    this.timer = timers.after(delayMs, () => {
      this.dueMs = Infinity;
      void this.synchronize();
    });
  }

  /** Takes over what is stored, and completes the row; checks later that nobody has overwritten it. */
  private async synchronize(): Promise<void> {
    const { timers, rowFeed, crashRegistry, decisionLines } = this.parts;
    try {
      const { rows } = await rowFeed.readAll(StoreTable.Convictions);
      const text = rows.find(([key]) => key === ROW_KEY)?.[1];
      const stored = decodeExpiring(contentSuspicionSchema, text, timers.wallClock());
      crashRegistry.adopt(stored);
      const held = mostSuspect(crashRegistry.list());
      const known = new Map(stored.map(({ digest, processes }) => [digest, new Set(processes)]));
      const isStored = ({ digest, processes }: ContentSuspicion): boolean =>
        processes.every((process) => known.get(digest)?.has(process));
      if (held.every(isStored)) return;
      await rowFeed.put(StoreTable.Convictions, ROW_KEY, encodeExpiring(held, timers.wallClock()));
    } catch (error) {
      decisionLines.write("suspicions not synchronized with the store", { detail: String(error) });
    }
    this.schedule(RETRY_MS);
  }
}

/** Those with most crashes, and of these the latest. */
function mostSuspect(suspicions: readonly ContentSuspicion[]): ContentSuspicion[] {
  return [...suspicions]
    .sort((a, b) => b.processes.length - a.processes.length || b.expiresMs - a.expiresMs)
    .slice(0, MAX_STORED);
}
