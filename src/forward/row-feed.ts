import type { StoreTable } from "./store-table.js";

/** A changed row; `text` is undefined if the row was removed. */
export type RowChange = readonly [key: string, text: string | undefined];

/** All rows of a table at one version of the store. */
export interface RowSnapshot {
  readonly rows: readonly (readonly [key: string, text: string])[];
  /** Increases each time when the store comes back from a copy; versions begin anew then. */
  readonly era: number;
  /** Increases with each transaction of the store. */
  readonly version: number;
}

/** Result of reading the changes of a table since a version. */
export type RowChanges =
  | {
      readonly kind: "changes";
      readonly changes: readonly RowChange[];
      readonly era: number;
      readonly version: number;
    }
  /** The store no longer has the history since that version; read the whole table instead. */
  | { readonly kind: "forgotten" };

/**
 * Access to the tables of the platform's store. All methods throw a `ServeError` of kind
 * `TableUnavailable` if the store does not answer.
 */
export interface RowFeed {
  readAll(table: StoreTable): Promise<RowSnapshot>;
  /** Reads the changes after `version`, waiting up to `waitMs` for the first one. */
  readChanges(table: StoreTable, version: number, waitMs: number): Promise<RowChanges>;
  /** Writes a row, overwriting any existing one. */
  put(table: StoreTable, key: string, text: string): Promise<void>;
}
