import { aliveMembers } from "../peer/alive-members.js";
import { AvoidedInstances } from "../peer/avoided-instances.js";
import type { Members } from "../peer/members.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { RandomSource } from "../random/random-source.js";
import type { LoopDelay } from "../time/loop-delay.js";
import { untilAborted } from "../pipeline/until-aborted.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import { PeerAnswer } from "./peer-answer.js";
import type { ReadSchedule } from "./read-schedule.js";
import { retryPauseMs } from "./retry-pause.js";
import { RowCache } from "./row-cache.js";
import type { RowChange, RowFeed } from "./row-feed.js";
import type { RowOrder } from "./row-order.js";
import { MAX_FRESH_AGE_MS, type RowQuery, type RowUpdate } from "./row-update.js";
import { rowChangesOf, rowUpdateSchema } from "./row-update.js";
import { RowComparison } from "../rows/row-comparison.js";
import { RowFreshness } from "../rows/row-freshness.js";
import { RowQueryResponder } from "./row-query-responder.js";
import { chooseReader } from "./store-readers.js";
import type { StoreTable } from "./store-table.js";

const PEER_TIMEOUT_MS = 400;
/** The store rejects at most a few instances in ten, so two peers are rarely both rejected. */
const FALLBACK_PEERS = 2;
/** Time for which a reader holds a query open without a change; bounds the effect of its freeze. */
const READER_WAIT_MS = 500;
/** Time for a reader's answer in addition to the wait; many round trips within a region. */
const READER_TIMEOUT_MS = 300;
/** Time limit for all rows of another instance, which may have a link of only 7 Mbit/s. */
const COMPARE_TIMEOUT_MS = 1_500;

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
  readonly loopDelay: Pick<LoopDelay, "recentMs">;
}

/**
 * Background task that keeps the cached rows of one table current. A few instances, the readers,
 * read the store. The others query the readers, and read the store themselves when the reader that
 * they query does not answer with fresh rows.
 */
export class RowFollower {
  readonly cache: RowCache;
  readonly freshness: RowFreshness;
  private readonly comparison: RowComparison;
  private readonly responder: RowQueryResponder;
  /** Readers that recently failed to answer or had rows that were not fresh. */
  private readonly avoidedReaders: AvoidedInstances;
  private readonly stopController = new AbortController();
  private failures = 0;
  private lastFailureMs = -Infinity;

  private constructor(
    private readonly parts: Parts,
    private readonly table: StoreTable,
    private readonly schedule: ReadSchedule,
    order: RowOrder,
    private readonly onChanges: (changes: readonly RowChange[]) => readonly string[],
  ) {
    this.cache = RowCache.create(order);
    this.comparison = RowComparison.create(parts.timers);
    this.avoidedReaders = AvoidedInstances.create(parts.timers);
    this.freshness = RowFreshness.create(parts, (rows) => {
      this.log("rows were late", { ...rows });
    });
    this.responder = RowQueryResponder.create(parts.timers, {
      cache: this.cache,
      ageMs: () => this.freshness.reportedAgeMs,
      sinceFailureMs: () => this.sinceFailureMs,
    });
  }

  /**
   * `order` tells older rows from newer ones after the store came back from a copy. `onChanges` is
   * called with the rows that changed and returns the keys of those that other
   * instances are to be told of.
   */
  static create(
    parts: Parts,
    table: StoreTable,
    schedule: ReadSchedule,
    order: RowOrder,
    onChanges: (changes: readonly RowChange[]) => readonly string[],
  ): RowFollower {
    return new RowFollower(parts, table, schedule, order, onChanges);
  }

  /** Time since the store last failed to answer a read, in ms. */
  get sinceFailureMs(): number {
    return this.parts.timers.now() - this.lastFailureMs;
  }

  stop(): void {
    this.stopController.abort();
  }

  /** Takes newer rows from an instance that is ahead, once this one has rows itself. */
  compareWith(peer: string): void {
    if (this.cache.version >= 0) this.comparison.request(peer);
  }

  /** Answers another instance's query for the changes that it lacks. */
  answerQuery(query: Omit<RowQuery, "table">): Promise<RowUpdate> {
    return this.responder.answer(query);
  }

  /** Resolves after `stop`. */
  async run(): Promise<void> {
    const { signal } = this.stopController;
    while (!signal.aborted) {
      if (this.comparison.isDue) await this.compareWithPeer();
      const retryDelayMs = (await this.refreshFromReader()) ? 0 : await this.refreshFromStore();
      try {
        await this.parts.timers.sleep(retryDelayMs, signal);
      } catch {
        // Stopped during the pause.
        return;
      }
    }
  }

  /** Queries a reader; returns false if this instance has to read the store itself. */
  private async refreshFromReader(): Promise<boolean> {
    const { self, cores, members } = this.parts;
    if (this.cache.version < 0) return false;
    const instances = [...aliveMembers(members), { id: self, cores }];
    const reader = chooseReader(this.table, self, instances, this.avoidedReaders);
    if (reader === undefined) return false;
    const answer = await this.refreshFromPeer(reader, READER_WAIT_MS, false);
    if (answer === PeerAnswer.Unusable) this.avoidedReaders.add(reader);
    return answer === PeerAnswer.Current;
  }

  /** Reads the store, or queries peers if that fails; returns the ms until the next read. */
  private async refreshFromStore(): Promise<number> {
    try {
      await this.readStore();
      if (this.failures > 0) this.log("store answers again", { failures: this.failures });
      this.failures = 0;
      return this.schedule.pauseMs;
    } catch (error) {
      if (this.comparison.interrupted.aborted) return 0;
      this.lastFailureMs = this.parts.timers.now();
      this.failures += 1;
      if (this.failures === 1) this.log("store does not answer", { detail: String(error) });
      const peers = this.parts.random.sample(aliveMembers(this.parts.members), FALLBACK_PEERS);
      await Promise.all(peers.map(({ id }) => this.refreshFromPeer(id, 0, true)));
      return retryPauseMs(this.failures, this.parts.random);
    }
  }

  private async readStore(): Promise<void> {
    const { rowFeed, timers } = this.parts;
    const { cache, table } = this;
    const startedMs = timers.now();
    if (cache.version >= 0) {
      const read = rowFeed.readChanges(table, cache.version, this.schedule.waitMs);
      const result = await untilAborted(read, this.comparison.interrupted);
      if (result.kind === "changes" && result.era === cache.era) {
        this.handleChanges(cache.applyChanges(result.changes, result.version));
        this.freshness.recordAnswer(startedMs, 0, "store");
        return;
      }
      this.log("store has other changes; reading the whole table", { version: cache.version });
    }
    const changes = cache.applySnapshot(await rowFeed.readAll(table));
    if (changes === undefined) throw new Error("the answer is older than the cached rows");
    this.handleChanges(changes);
    this.freshness.recordCurrent(startedMs, "store");
  }

  /** Takes newer rows from another instance. */
  private async compareWithPeer(): Promise<void> {
    const { random, peerCalls, members } = this.parts;
    const other = random.sample(aliveMembers(members), 1)[0]?.id;
    const peer = this.cache.version < 0 ? undefined : this.comparison.begin(other);
    if (peer === undefined) return;
    const params: RowQuery = { ...this.query(0, true), after: -1 };
    try {
      const result = await peerCalls.call(peer, PeerMethod.StoreRows, params, COMPARE_TIMEOUT_MS);
      const { era, changes } = rowUpdateSchema.parse(result);
      if (era < this.cache.era) return;
      const newer = this.cache.applyNewer(rowChangesOf(changes ?? []));
      this.handleChanges(newer);
      if (newer.length > 0) this.log("rows from another instance", { peer });
    } catch (error) {
      this.log("no rows to compare from another instance", { peer, detail: String(error) });
    }
  }

  private query(waitMs: number, whole: boolean): RowQuery {
    const { era, version } = this.cache;
    return { table: this.table, era, after: version, waitMs, whole };
  }

  /** Queries another instance and applies the changes in its answer. */
  private async refreshFromPeer(peer: string, waitMs: number, whole: boolean): Promise<PeerAnswer> {
    const { peerCalls, timers } = this.parts;
    const params = this.query(waitMs, whole);
    const sentMs = timers.now();
    try {
      const timeoutMs = waitMs + (whole ? PEER_TIMEOUT_MS : READER_TIMEOUT_MS);
      const call = peerCalls.call(peer, PeerMethod.StoreRows, params, timeoutMs);
      const result = await untilAborted(call, this.comparison.interrupted);
      const { era, version, changes, ageMs, sinceFailureMs } = rowUpdateSchema.parse(result);
      if (era < this.cache.era) return PeerAnswer.Unusable;
      const fresh = ageMs < MAX_FRESH_AGE_MS;
      if (changes === null) return fresh ? PeerAnswer.TooLarge : PeerAnswer.Unusable;
      const effective = this.cache.applyUpdate({ era, version, changes: rowChangesOf(changes) });
      const now = timers.now();
      // The peer that the rows come from determines when the store last failed; a peer that cannot
      // reach the store has no fresh rows.
      if (fresh) this.lastFailureMs = now - sinceFailureMs;
      this.handleChanges(effective);
      this.freshness.recordAnswer(sentMs, ageMs, peer);
      if (whole && effective.length > 0) this.log("rows from another instance", { peer, version });
      return fresh ? PeerAnswer.Current : PeerAnswer.Unusable;
    } catch (error) {
      this.log("no rows from another instance", { peer, detail: String(error) });
      return PeerAnswer.Unusable;
    }
  }

  private handleChanges(changes: readonly RowChange[]): void {
    if (changes.length === 0) return;
    const updatedKeys = this.onChanges(changes);
    if (updatedKeys.length === 0) return;
    this.cache.recordUpdates(updatedKeys);
    this.responder.wakeWaiters();
  }

  private log(message: string, fields: Readonly<Record<string, unknown>>): void {
    this.parts.decisionLines.write(message, { table: this.table, era: this.cache.era, ...fields });
  }
}
