import type { StoreTable } from "./store-table.js";

/** A row that changed; a text of undefined was removed. */
export type RowChange = readonly [key: string, text: string | undefined];

/** All rows of a table at one moment. */
export interface RowSnapshot {
  readonly rows: readonly (readonly [key: string, text: string])[];
  /** Version of the store at that moment; rises with each transaction. */
  readonly version: number;
}

/** The changes of a table since a version. */
export type RowChanges =
  | { readonly kind: "changes"; readonly changes: readonly RowChange[]; readonly version: number }
  /** The store no longer has the history; the table must be read whole. */
  | { readonly kind: "forgotten" };

/** Reads tables of the platform's store. All calls throw `TableUnavailable` without an answer. */
export interface RowFeed {
  readAll(table: StoreTable): Promise<RowSnapshot>;
  /** Waits up to `waitMs` for the first change after `version`. */
  readChanges(table: StoreTable, version: number, waitMs: number): Promise<RowChanges>;
  /** Writes a row whatever it held before. */
  put(table: StoreTable, key: string, text: string): Promise<void>;
}
