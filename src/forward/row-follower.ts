import { aliveMembers } from "../peer/alive-members.js";
import { AvoidedInstances } from "../peer/avoided-instances.js";
import type { Members } from "../peer/members.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { RandomSource } from "../random/random-source.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import { RowCache } from "./row-cache.js";
import type { RowChange, RowFeed } from "./row-feed.js";
import { FRESH_MS, type RowNews, type RowQuery, rowNewsSchema } from "./row-news.js";
import { RowTeller } from "./row-teller.js";
import { readerOrder, storeReaders } from "./store-readers.js";
import type { StoreTable } from "./store-table.js";

/** Pause after a failed read; doubled by each further one. All calls are priced, failed ones too. */
const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 1_000;
const PEER_MS = 400;
/** At most a few instances in ten are turned away, so two of them rarely both are. */
const ASKED_PEERS = 2;
/** Time for which a reader holds a question without a change; bounds the effect of its freeze. */
const NEWS_WAIT_MS = 500;
/** Time beside it for the answer of a reader; many round trips in a region. */
const NEWS_MS = 300;
/** Longest time that an answer is taken to have been under way; many round trips in a region. */
const UNDERWAY_MS = 250;
/** Stands for "never" in an answer, since JSON has no infinity; 400 days. */
const NEVER_MS = 34_560_000_000;

/** How a table is read. Times are in ms. */
export interface ReadPace {
  /** Time for which a read waits for a change. */
  readonly waitMs: number;
  /** Pause after each read. */
  readonly pauseMs: number;
}

/** What an answer of another instance is good for. */
enum Told {
  /** The rows are now current. */
  Current,
  /** There are rows that have to be read from the store. */
  TooLarge,
  /** No answer, or rows that are not fresh. */
  Nothing,
}

interface Parts {
  readonly self: string;
  /** Processor cores that this instance may use. */
  readonly cores: number;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly rowFeed: RowFeed;
  readonly members: Members;
  readonly peerCalls: PeerCalls;
  readonly decisionLines: DecisionLines;
}

/**
 * The task that keeps the rows of one table current. A few instances read the store, the others ask
 * these, and read the store themselves when no reader answers with fresh rows.
 */
export class RowFollower {
  readonly cache = RowCache.create();
  private readonly teller: RowTeller;
  /** Readers that did not answer, or are behind. */
  private readonly unfit: AvoidedInstances;
  /** Time at which the rows were current at least. */
  private currentMs = -Infinity;
  private readonly ended = new AbortController();
  private failures = 0;
  private lastFailureMs = -Infinity;

  private constructor(
    private readonly parts: Parts,
    private readonly table: StoreTable,
    private readonly pace: ReadPace,
    private readonly changed: (changes: readonly RowChange[]) => readonly string[],
  ) {
    this.unfit = AvoidedInstances.create(parts.timers);
    this.teller = RowTeller.create(parts.timers, {
      cache: this.cache,
      ageMs: () => Math.min(NEVER_MS, parts.timers.now() - this.currentMs),
      sinceFailureMs: () => Math.min(NEVER_MS, this.sinceFailureMs),
    });
  }

  /**
   * `changed` is called with the rows that changed and returns the keys of those that are news to
   * other instances.
   */
  static create(
    parts: Parts,
    table: StoreTable,
    pace: ReadPace,
    changed: (changes: readonly RowChange[]) => readonly string[],
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

  /** Tells another instance what it does not know yet. */
  tell(query: Omit<RowQuery, "table">): Promise<RowNews> {
    return this.teller.tell(query);
  }

  /** Resolves when the follower was ended. */
  async run(): Promise<void> {
    const { signal } = this.ended;
    while (!signal.aborted) {
      const pauseMs = (await this.askReader()) ? 0 : await this.readOnce();
      try {
        await this.parts.timers.sleep(pauseMs, signal);
      } catch {
        // The follower was ended during the pause.
        return;
      }
    }
  }

  /** Returns false if this instance has to read the store itself. */
  private async askReader(): Promise<boolean> {
    const { self, cores, members } = this.parts;
    if (this.cache.version < 0) return false;
    const readers = storeReaders(this.table, [...aliveMembers(members), { id: self, cores }]);
    if (readers.includes(self)) return false;
    const reader = readerOrder(self, readers).find((each) => !this.unfit.has(each));
    if (reader === undefined) return false;
    const told = await this.ask(reader, NEWS_WAIT_MS, false);
    if (told === Told.Nothing) this.unfit.add(reader);
    return told === Told.Current;
  }

  /** Returns the pause in ms until the next read. */
  private async readOnce(): Promise<number> {
    try {
      await this.readStore();
      if (this.failures > 0) this.log("store answers again", { failures: this.failures });
      this.failures = 0;
      return this.pace.pauseMs;
    } catch (error) {
      this.lastFailureMs = this.parts.timers.now();
      this.failures += 1;
      if (this.failures === 1) this.log("store does not answer", { detail: String(error) });
      const asked = this.parts.random.sample(this.alive(), ASKED_PEERS);
      await Promise.all(asked.map((peer) => this.ask(peer, 0, true)));
      return this.pauseMs();
    }
  }

  private alive(): string[] {
    return aliveMembers(this.parts.members).map(({ id }) => id);
  }

  private async readStore(): Promise<void> {
    const { rowFeed, timers } = this.parts;
    const { cache, table } = this;
    const startedMs = timers.now();
    if (cache.version >= 0) {
      const result = await rowFeed.changes(table, cache.version, this.pace.waitMs);
      if (result.kind === "changes") {
        this.take(cache.change(result.changes, result.version));
        this.currentMs = Math.max(startedMs, timers.now() - UNDERWAY_MS);
        return;
      }
      this.log("store forgot its history", { version: cache.version });
    }
    this.take(cache.replace(await rowFeed.read(table)));
    this.currentMs = startedMs;
  }

  /** Takes over what another instance knows. */
  private async ask(peer: string, waitMs: number, whole: boolean): Promise<Told> {
    const { peerCalls, timers } = this.parts;
    const params: RowQuery = { table: this.table, after: this.cache.version, waitMs, whole };
    const askedMs = timers.now();
    try {
      const limitMs = waitMs + (whole ? PEER_MS : NEWS_MS);
      const result = await peerCalls.call(peer, PeerMethod.StoreRows, params, limitMs);
      const { version, changes, ageMs, sinceFailureMs } = rowNewsSchema.parse(result);
      const fresh = ageMs < FRESH_MS;
      if (changes === null) return fresh ? Told.TooLarge : Told.Nothing;
      const real = this.cache.change(
        changes.map(([key, text]): RowChange => [key, text ?? undefined]),
        version,
      );
      const now = timers.now();
      // Whether the store was away is judged by the instance whose rows these are; one that is cut
      // off from it has no fresh rows.
      if (fresh) this.lastFailureMs = now - sinceFailureMs;
      this.take(real);
      this.currentMs = Math.max(this.currentMs, Math.max(askedMs, now - UNDERWAY_MS) - ageMs);
      if (whole && real.length > 0) this.log("rows from another instance", { peer, version });
      return fresh ? Told.Current : Told.Nothing;
    } catch (error) {
      this.log("no rows from another instance", { peer, detail: String(error) });
      return Told.Nothing;
    }
  }

  private take(changes: readonly RowChange[]): void {
    if (changes.length === 0) return;
    const news = this.changed(changes);
    if (news.length === 0) return;
    this.cache.note(news);
    this.teller.changed();
  }

  private pauseMs(): number {
    const full = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.failures - 1));
    return full * (0.5 + 0.5 * this.parts.random.fraction());
  }

  private log(message: string, fields: Readonly<Record<string, unknown>>): void {
    this.parts.decisionLines.write(message, { table: this.table, ...fields });
  }
}
