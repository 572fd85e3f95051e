import type { RowFeed } from "../forward/row-feed.js";
import type { StoreTable } from "../forward/store-table.js";

/** A row at one version of the store. */
export interface StoredRow {
  /** Undefined if there is no such row. */
  readonly text: string | undefined;
  /** Version at which it was written; 0 if there is no such row. */
  readonly version: number;
  readonly era: number;
}

/**
 * Access to single rows of the platform's store. All methods throw a `ServeError` of kind
 * `TableUnavailable` if the store does not answer; a write may then take effect later.
 */
export interface RowStore extends RowFeed {
  read(table: StoreTable, key: string): Promise<StoredRow>;
  /** Writes a row if its version is still the given one; returns whether it was. */
  replace(table: StoreTable, key: string, text: string, version: number): Promise<boolean>;
  /** Writes and removes rows in one transaction. */
  write(
    table: StoreTable,
    rows: readonly (readonly [key: string, text: string])[],
    removedKeys: readonly string[],
  ): Promise<void>;
}
