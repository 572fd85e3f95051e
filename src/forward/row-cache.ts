import type { RowChange, RowSnapshot } from "./row-feed.js";

/** The rows of one table as of one version of the store. */
export class RowCache {
  private readonly rows = new Map<string, string>();
  private current = -1;

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

  snapshot(): RowSnapshot {
    return { rows: [...this.rows], version: this.current };
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
}
