import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { RowCache } from "./row-cache.js";
import type { RowChange } from "./row-feed.js";
import { FRESH_MS, type RowNews, type RowQuery } from "./row-news.js";

/**
 * Bytes of rows that one instance tells another. Larger ones, such as configurations, each instance
 * reads from the store itself: a reader may have a link of 7 Mbit/s.
 */
const MOST_TOLD_BYTES = 16_384;

interface Source {
  readonly cache: RowCache;
  /** Time since the rows were known to be current, in ms. */
  readonly ageMs: () => number;
  readonly sinceFailureMs: () => number;
}

/** Tells other instances the rows of one table. */
export class RowTeller {
  private readonly waiting = new Set<() => void>();

  private constructor(
    private readonly timers: Timers,
    private readonly source: Source,
  ) {}

  static create(timers: Timers, source: Source): RowTeller {
    return new RowTeller(timers, source);
  }

  /** Answers those who wait for a change. */
  changed(): void {
    for (const answer of [...this.waiting]) answer();
  }

  /** Resolves with the first change, at the end of the wait, or when the rows are not fresh. */
  async tell({ after, waitMs, whole }: Omit<RowQuery, "table">): Promise<RowNews> {
    const { cache, ageMs, sinceFailureMs } = this.source;
    if (cache.news(after)?.length === 0) await this.wait(Math.min(waitMs, FRESH_MS - ageMs()));
    const news = cache.news(after);
    const changes = news !== undefined && (whole || isSmall(news)) ? news : null;
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
      const answer = (): void => {
        this.waiting.delete(answer);
        limit.cancel();
        resolve();
      };
      this.waiting.add(answer);
      const limit: Subscription = this.timers.after(ms, answer);
    });
  }
}

function isSmall(changes: readonly RowChange[]): boolean {
  const bytes = changes.reduce((sum, [key, text]) => sum + key.length + (text?.length ?? 0), 0);
  return bytes <= MOST_TOLD_BYTES;
}
