import type { RowChange, RowSnapshot } from "./row-feed.js";
import type { RowOrder } from "./row-order.js";

/**
 * Removals that are kept so that other instances can be told of them; far more than the rows that
 * are removed in a minute.
 */
const MAX_REMOVED_ROWS = 4_096;

/**
 * Cached rows of one table as of one version of the store. Versions are comparable within an era of
 * the store only: when it comes back from a copy, a new era begins and versions are given out again.
 */
export class RowCache {
  private readonly rows = new Map<string, string>();
  /** Last texts of removed rows, oldest first. */
  private readonly removed = new Map<string, string>();
  /** Version at which each row was last recorded as updated or removed. */
  private readonly updatedAtVersion = new Map<string, number>();
  private currentEra = 0;
  private currentVersion = -1;
  /** Removals up to this version are no longer kept. */
  private removalsDroppedAtVersion = -1;
  /** Version of the first rows of this era; undefined if no earlier era is known. */
  private restoredVersion: number | undefined;

  private constructor(private readonly order: RowOrder) {}

  static create(order: RowOrder): RowCache {
    return new RowCache(order);
  }

  /** Version of the store that the rows reflect; -1 before the first snapshot. */
  get version(): number {
    return this.currentVersion;
  }

  /** Era of the store to which the version belongs. */
  get era(): number {
    return this.currentEra;
  }

  /** Whether nothing has changed since the first read after the store came back from a copy. */
  get isRestored(): boolean {
    return this.currentVersion === this.restoredVersion;
  }

  /** Applies changes of the current era and returns those that had an effect. */
  applyChanges(changes: readonly RowChange[], version: number): RowChange[] {
    const effective = changes.filter(([key, text]) => this.rows.get(key) !== text);
    for (const [key, text] of effective) {
      const previous = this.rows.get(key);
      if (text === undefined) {
        this.rows.delete(key);
        if (previous !== undefined) this.rememberRemoved(key, previous);
      } else {
        this.rows.set(key, text);
        this.removed.delete(key);
      }
    }
    this.currentVersion = Math.max(this.currentVersion, version);
    return effective;
  }

  /**
   * Applies a snapshot and returns what it changed; undefined if the snapshot is older than the
   * cache. In a new era, rows that are older than the cached ones have no effect.
   */
  applySnapshot({ rows, era, version }: RowSnapshot): RowChange[] | undefined {
    if (era < this.currentEra || (era === this.currentEra && version < this.currentVersion))
      return undefined;
    const read = new Map(rows);
    const absent = [...this.rows.keys()].filter((key) => !read.has(key));
    const changes = [...absent.map((key): RowChange => [key, undefined]), ...rows];
    if (era === this.currentEra || this.currentVersion < 0) {
      this.currentEra = era;
      return this.applyChanges(changes, version);
    }
    this.currentEra = era;
    this.currentVersion = version;
    this.restoredVersion = version;
    // An instance that read an earlier snapshot of this era must get all rows, or read the store.
    for (const key of this.updatedAtVersion.keys()) this.updatedAtVersion.set(key, version);
    this.removalsDroppedAtVersion = version;
    return this.applyChanges(this.withoutOlder(changes), version);
  }

  /**
   * Applies the answer of another instance; in another era, its changes are all rows. An answer that
   * is not ahead of the cache has no effect: a newer one may have come while it was on its way.
   */
  applyUpdate(update: {
    era: number;
    version: number;
    changes: readonly RowChange[];
  }): RowChange[] {
    const { era, version, changes } = update;
    if (era === this.currentEra)
      return version > this.currentVersion ? this.applyChanges(changes, version) : [];
    const rows = changes.flatMap(([key, text]) =>
      text === undefined ? [] : [[key, text] as const],
    );
    return this.applySnapshot({ rows, era, version }) ?? [];
  }

  /** Applies those of another instance's rows that were written after the cached ones. */
  applyNewer(rows: readonly RowChange[]): RowChange[] {
    const newer = rows.filter(([key, text]) => {
      const cached = this.rows.get(key);
      return cached !== undefined && text !== undefined && this.order.isOlder(key, cached, text);
    });
    return this.applyChanges(newer, this.currentVersion);
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

  private withoutOlder(changes: readonly RowChange[]): RowChange[] {
    return changes.filter(([key, text]) => {
      const remembered = this.rows.get(key) ?? this.removed.get(key);
      return remembered === undefined || !this.order.isOlder(key, text, remembered);
    });
  }

  private rememberRemoved(key: string, text: string): void {
    this.removed.set(key, text);
    const [oldest] = this.removed.keys();
    if (this.removed.size > MAX_REMOVED_ROWS && oldest !== undefined) this.removed.delete(oldest);
  }
}
