import type { RowKey } from "./row-key.js";

/** A row of the table service. */
export interface Row {
  readonly key: RowKey;
  /** Rises with each put; set by the writer and checked by expectations. */
  readonly version: number;
  /** JSON text. */
  readonly value: string;
}
