import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { RowCache } from "./row-cache.js";
import type { RowChange } from "./row-feed.js";
import { MAX_FRESH_AGE_MS, type RowUpdate, type RowQuery } from "./row-update.js";

/**
 * Bytes of rows that one instance tells another. Larger ones, such as configurations, each instance
 * reads from the store itself: a reader may have a link of 7 Mbit/s.
 */
const MAX_UPDATE_BYTES = 16_384;

interface Source {
  readonly cache: RowCache;
  /** Time since the rows were known to be current, in ms. */
  readonly ageMs: () => number;
  readonly sinceFailureMs: () => number;
}

/** Tells other instances the rows of one table. */
export class RowQueryResponder {
  private readonly waiters = new Set<() => void>();

  private constructor(
    private readonly timers: Timers,
    private readonly source: Source,
  ) {}

  static create(timers: Timers, source: Source): RowQueryResponder {
    return new RowQueryResponder(timers, source);
  }

  /** Answers those who wait for a change. */
  wakeWaiters(): void {
    for (const wake of [...this.waiters]) wake();
  }

  /** Resolves with the first change, at the end of the wait, or when the rows are not fresh. */
  async answer({ after, waitMs, whole }: Omit<RowQuery, "table">): Promise<RowUpdate> {
    const { cache, ageMs, sinceFailureMs } = this.source;
    if (cache.updatesSince(after)?.length === 0)
      await this.wait(Math.min(waitMs, MAX_FRESH_AGE_MS - ageMs()));
    const updates = cache.updatesSince(after);
    const changes = updates !== undefined && (whole || isSmall(updates)) ? updates : null;
    return {
      version: cache.version,
      changes: changes?.map(([key, text]) => [key, text ?? null]) ?? null,
      ageMs: Math.ceil(ageMs()),
      sinceFailureMs: Math.round(sinceFailureMs()),
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
