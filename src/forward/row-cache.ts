import type { RowChange, RowSnapshot } from "./row-feed.js";

/** Removed rows that are remembered for other instances; far above what leaves in a minute. */
const MAX_REMOVED_ROWS = 4_096;

/** The rows of one table as of one version of the store. */
export class RowCache {
  private readonly rows = new Map<string, string>();
  /** Version at which the last news of a row was learnt, removed rows included. */
  private readonly updatedAtVersion = new Map<string, number>();
  private currentVersion = -1;
  /** Removals up to this version are no longer known. */
  private removalsDroppedAtVersion = -1;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): RowCache {
    return new RowCache();
  }

  /** Version of the store that the rows are from; -1 before the first snapshot. */
  get version(): number {
    return this.currentVersion;
  }

  /** Takes over changes and returns those that change a row. */
  applyChanges(changes: readonly RowChange[], version: number): RowChange[] {
    const effective = changes.filter(([key, text]) => this.rows.get(key) !== text);
    for (const [key, text] of effective) {
      if (text === undefined) this.rows.delete(key);
      else this.rows.set(key, text);
    }
    this.currentVersion = Math.max(this.currentVersion, version);
    return effective;
  }

  /** Takes over a snapshot, unless it is older, and returns what it changes. */
  applySnapshot({ rows, version }: RowSnapshot): RowChange[] {
    if (version < this.currentVersion) return [];
    const keys = new Set(rows.map(([key]) => key));
    const removed = [...this.rows.keys()]
      .filter((key) => !keys.has(key))
      .map((key): RowChange => [key, undefined]);
    return this.applyChanges([...removed, ...rows], version);
  }

  /** Notes rows whose present state other instances should know. */
  recordUpdates(keys: readonly string[]): void {
    for (const key of keys) this.updatedAtVersion.set(key, this.currentVersion);
    if (this.updatedAtVersion.size - this.rows.size <= MAX_REMOVED_ROWS) return;
    for (const key of this.updatedAtVersion.keys())
      if (!this.rows.has(key)) this.updatedAtVersion.delete(key);
    this.removalsDroppedAtVersion = this.currentVersion;
  }

  /** Rows with news since a version of the store; undefined if that is too long ago. */
  updatesSince(after: number): RowChange[] | undefined {
    if (after >= 0 && after < this.removalsDroppedAtVersion) return undefined;
    return [...this.updatedAtVersion]
      .filter(([, version]) => version > after)
      .map(([key]): RowChange => [key, this.rows.get(key)]);
  }
}
