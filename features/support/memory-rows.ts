import type { RowChanges, RowFeed, RowSnapshot } from "../../src/forward/row-feed.js";
import type { StoreTable } from "../../src/forward/store-table.js";

/** Rows of the store in memory; changes cannot be read. */
export class MemoryRows implements RowFeed {
  private readonly rows = new Map<string, Map<string, string>>();
  private version = 0;

  private constructor() {
    // Use `create`.
  }

  static create(): MemoryRows {
    return new MemoryRows();
  }

  readAll(table: StoreTable): Promise<RowSnapshot> {
    return Promise.resolve({
      rows: [...(this.rows.get(table) ?? [])],
      era: 1,
      version: this.version,
    });
  }

  readChanges(): Promise<RowChanges> {
    return Promise.resolve({ kind: "forgotten" });
  }

  put(table: StoreTable, key: string, text: string): Promise<void> {
    this.version += 1;
    this.rows.set(table, (this.rows.get(table) ?? new Map<string, string>()).set(key, text));
    return Promise.resolve();
  }
}
