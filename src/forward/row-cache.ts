import type { RowChange, RowSnapshot } from "./row-feed.js";

/** Removed rows that are remembered for other instances; far above what leaves in a minute. */
const MOST_REMOVED = 4_096;

/** The rows of one table as of one version of the store. */
export class RowCache {
  private readonly rows = new Map<string, string>();
  /** Version at which the last news of a row was learnt, removed rows included. */
  private readonly newsAt = new Map<string, number>();
  private current = -1;
  /** Removals up to this version are no longer known. */
  private forgotten = -1;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): RowCache {
    return new RowCache();
  }

  /** Version of the store that the rows are from; -1 before the first snapshot. */
  get version(): number {
    return this.current;
  }

  /** Takes over changes and returns those that change a row. */
  change(changes: readonly RowChange[], version: number): RowChange[] {
    const real = changes.filter(([key, text]) => this.rows.get(key) !== text);
    for (const [key, text] of real) {
      if (text === undefined) this.rows.delete(key);
      else this.rows.set(key, text);
    }
    this.current = Math.max(this.current, version);
    return real;
  }

  /** Takes over a snapshot, unless it is older, and returns what it changes. */
  replace({ rows, version }: RowSnapshot): RowChange[] {
    if (version < this.current) return [];
    const keys = new Set(rows.map(([key]) => key));
    const removed = [...this.rows.keys()]
      .filter((key) => !keys.has(key))
      .map((key): RowChange => [key, undefined]);
    return this.change([...removed, ...rows], version);
  }

  /** Notes rows whose present state other instances should know. */
  note(keys: readonly string[]): void {
    for (const key of keys) this.newsAt.set(key, this.current);
    if (this.newsAt.size - this.rows.size <= MOST_REMOVED) return;
    for (const key of this.newsAt.keys()) if (!this.rows.has(key)) this.newsAt.delete(key);
    this.forgotten = this.current;
  }

  /** Rows with news since a version of the store; undefined if that is too long ago. */
  news(after: number): RowChange[] | undefined {
    if (after >= 0 && after < this.forgotten) return undefined;
    return [...this.newsAt]
      .filter(([, version]) => version > after)
      .map(([key]): RowChange => [key, this.rows.get(key)]);
  }
}
