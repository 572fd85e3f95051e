import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { RowCache } from "./row-cache.js";
import type { RowChange } from "./row-feed.js";
import { MAX_FRESH_AGE_MS, type RowUpdate, type RowQuery } from "./row-update.js";

/**
 * Larger changes, such as configurations, are not sent to other instances, which read them from the
 * store: a reader may have a link of only 7 Mbit/s.
 */
const MAX_UPDATE_BYTES = 16_384;

/** Stands for "never" in an answer, since JSON has no infinity: 400 days. */
const MAX_AGE_MS = 34_560_000_000;

interface Source {
  readonly cache: RowCache;
  /** Time since the rows were last known to be current, in ms. */
  readonly ageMs: () => number;
  /** Time since the store last failed to answer, in ms. */
  readonly sinceFailureMs: () => number;
}

/** Answers the queries of other instances for the rows of one table. */
export class RowQueryResponder {
  private readonly waiters = new Set<() => void>();

  private constructor(
    private readonly timers: Timers,
    private readonly source: Source,
  ) {}

  static create(timers: Timers, source: Source): RowQueryResponder {
    return new RowQueryResponder(timers, source);
  }

  /** Ends the wait of all open queries after a change. */
  wakeWaiters(): void {
    for (const wake of [...this.waiters]) wake();
  }

  /** Resolves at the first change, after `waitMs`, or when the rows are no longer fresh. */
  async answer(query: Omit<RowQuery, "table">): Promise<RowUpdate> {
    const { waitMs, whole } = query;
    const { cache, ageMs, sinceFailureMs } = this.source;
    const sameEra = (): boolean => cache.era === query.era;
    const after = sameEra() ? query.after : -1;
    if (cache.updatesSince(after)?.length === 0)
      await this.wait(Math.min(waitMs, MAX_FRESH_AGE_MS - ageMs()));
    const updates = cache.updatesSince(sameEra() ? after : -1);
    const changes = updates !== undefined && (whole || isSmall(updates)) ? updates : null;
    return {
      era: cache.era,
      version: cache.version,
      changes: changes?.map(([key, text]) => [key, text ?? null]) ?? null,
      ageMs: Math.ceil(Math.min(MAX_AGE_MS, ageMs())),
      sinceFailureMs: Math.round(Math.min(MAX_AGE_MS, sinceFailureMs())),
    };
  }

  private wait(ms: number): Promise<void> {
    if (ms <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        this.waiters.delete(finish);
        timer.cancel();
        resolve();
      };
      this.waiters.add(finish);
      const timer: Subscription = this.timers.after(ms, finish);
    });
  }
}

function isSmall(changes: readonly RowChange[]): boolean {
  const bytes = changes.reduce((sum, [key, text]) => sum + key.length + (text?.length ?? 0), 0);
  return bytes <= MAX_UPDATE_BYTES;
}
