import { z } from "zod";
import { MemberState } from "../peer/member-state.js";
import type { Members } from "../peer/members.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { RandomSource } from "../random/random-source.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import { RowCache } from "./row-cache.js";
import type { RowChange, RowFeed, RowSnapshot } from "./row-feed.js";
import type { StoreTable } from "./store-table.js";

/** Pause after a failed read; doubled by each further one. All calls are priced, failed ones too. */
const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 1_000;
const PEER_MS = 400;
/** At most a few instances in ten are turned away, so two of them rarely both are. */
const ASKED_PEERS = 2;

/** How a table is read. Times are in ms. */
export interface ReadPace {
  /** Time for which a read waits for a change. */
  readonly waitMs: number;
  /** Pause after each read. */
  readonly pauseMs: number;
}

/** Schema of the rows that one daemon tells another. */
export const storeRowsSchema = z.object({
  version: z.number(),
  rows: z.array(z.tuple([z.string(), z.string()])),
});

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly rowFeed: RowFeed;
  readonly members: Members;
  readonly peerCalls: PeerCalls;
  readonly decisionLines: DecisionLines;
}

/** The task that keeps the rows of one table current, from the store or else from other daemons. */
export class RowFollower {
  readonly cache = RowCache.create();
  private readonly ended = new AbortController();
  private failures = 0;
  private lastFailureMs = -Infinity;

  private constructor(
    private readonly parts: Parts,
    private readonly table: StoreTable,
    private readonly pace: ReadPace,
    private readonly changed: (changes: readonly RowChange[]) => void,
  ) {}

  /** `changed` is called with the rows that changed. */
  static create(
    parts: Parts,
    table: StoreTable,
    pace: ReadPace,
    changed: (changes: readonly RowChange[]) => void,
  ): RowFollower {
    return new RowFollower(parts, table, pace, changed);
  }

  /** Time since the store last failed to answer a read, in ms. */
  get sinceFailureMs(): number {
    return this.parts.timers.now() - this.lastFailureMs;
  }

  end(): void {
    this.ended.abort();
  }

  /** Resolves when the follower was ended. */
  async run(): Promise<void> {
    const { signal } = this.ended;
    while (!signal.aborted) {
      const read = await this.readOnce();
      try {
        await this.parts.timers.sleep(read ? this.pace.pauseMs : this.pauseMs(), signal);
      } catch {
        // The follower was ended during the pause.
        return;
      }
    }
  }

  private async readOnce(): Promise<boolean> {
    try {
      await this.readStore();
      if (this.failures > 0) this.log("store answers again", { failures: this.failures });
      this.failures = 0;
      return true;
    } catch (error) {
      this.lastFailureMs = this.parts.timers.now();
      this.failures += 1;
      if (this.failures === 1) this.log("store does not answer", { detail: String(error) });
      await this.readPeers();
      return false;
    }
  }

  private async readStore(): Promise<void> {
    const { rowFeed } = this.parts;
    const { cache, table } = this;
    if (cache.version >= 0) {
      const result = await rowFeed.changes(table, cache.version, this.pace.waitMs);
      if (result.kind === "changes") {
        this.take(cache.change(result.changes, result.version));
        return;
      }
      this.log("store forgot its history", { version: cache.version });
    }
    this.take(cache.replace(await rowFeed.read(table)));
  }

  /** Asks other daemons; the store may turn away only a part of them. */
  private async readPeers(): Promise<void> {
    const { members, random } = this.parts;
    const alive = members.all().filter(({ state }) => state === MemberState.Alive);
    const asked = random.sample(alive, ASKED_PEERS);
    await Promise.all(asked.map(({ id }) => this.readPeer(id)));
  }

  private async readPeer(peer: string): Promise<void> {
    const { peerCalls } = this.parts;
    try {
      const params = { table: this.table, after: this.cache.version };
      const result = await peerCalls.call(peer, PeerMethod.StoreRows, params, PEER_MS);
      if (result === null) return;
      const snapshot: RowSnapshot = storeRowsSchema.parse(result);
      this.take(this.cache.replace(snapshot));
      this.log("rows from another instance", { peer, version: snapshot.version });
    } catch (error) {
      this.log("no rows from another instance", { peer, detail: String(error) });
    }
  }

  private take(changes: readonly RowChange[]): void {
    if (changes.length > 0) this.changed(changes);
  }

  private pauseMs(): number {
    const full = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.failures - 1));
    return full * (0.5 + 0.5 * this.parts.random.fraction());
  }

  private log(message: string, fields: Readonly<Record<string, unknown>>): void {
    this.parts.decisionLines.write(message, { table: this.table, ...fields });
  }
}
