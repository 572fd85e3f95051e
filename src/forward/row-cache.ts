import type { RowChange, RowSnapshot } from "./row-feed.js";

/**
 * Removals that are kept so that other instances can be told of them; far more than the rows that
 * are removed in a minute.
 */
const MAX_REMOVED_ROWS = 4_096;

/** Cached rows of one table as of one version of the store. */
export class RowCache {
  private readonly rows = new Map<string, string>();
  /** Version at which each row was last recorded as updated or removed. */
  private readonly updatedAtVersion = new Map<string, number>();
  private currentVersion = -1;
  /** Removals up to this version are no longer kept. */
  private removalsDroppedAtVersion = -1;

  private constructor() {
    // Use `create`.
  }

  static create(): RowCache {
    return new RowCache();
  }

  /** Version of the store that the rows reflect; -1 before the first snapshot. */
  get version(): number {
    return this.currentVersion;
  }

  /** Applies changes and returns those that had an effect. */
  applyChanges(changes: readonly RowChange[], version: number): RowChange[] {
    const effective = changes.filter(([key, text]) => this.rows.get(key) !== text);
    for (const [key, text] of effective) {
      if (text === undefined) this.rows.delete(key);
      else this.rows.set(key, text);
    }
    this.currentVersion = Math.max(this.currentVersion, version);
    return effective;
  }

  /** Applies a snapshot, unless it is older than the cache, and returns what it changed. */
  applySnapshot({ rows, version }: RowSnapshot): RowChange[] {
    if (version < this.currentVersion) return [];
    const keys = new Set(rows.map(([key]) => key));
    const removed = [...this.rows.keys()]
      .filter((key) => !keys.has(key))
      .map((key): RowChange => [key, undefined]);
    return this.applyChanges([...removed, ...rows], version);
  }

  /** Records that other instances are to be told the present state of these rows. */
  recordUpdates(keys: readonly string[]): void {
    for (const key of keys) this.updatedAtVersion.set(key, this.currentVersion);
    if (this.updatedAtVersion.size - this.rows.size <= MAX_REMOVED_ROWS) return;
    for (const key of this.updatedAtVersion.keys())
      if (!this.rows.has(key)) this.updatedAtVersion.delete(key);
    this.removalsDroppedAtVersion = this.currentVersion;
  }

  /** Rows updated after a version of the store; undefined if removals since then were dropped. */
  updatesSince(after: number): RowChange[] | undefined {
    if (after >= 0 && after < this.removalsDroppedAtVersion) return undefined;
    return [...this.updatedAtVersion]
      .filter(([, version]) => version > after)
      .map(([key]): RowChange => [key, this.rows.get(key)]);
  }
}
