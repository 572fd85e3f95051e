import type { Expectation } from "./expectation.js";
import type { RowKey } from "./row-key.js";

/** One part of a transaction. */
export type TableWrite =
  | {
      readonly kind: "put";
      readonly key: RowKey;
      readonly version: number;
      readonly value: string;
      readonly expect: Expectation;
    }
  | { readonly kind: "check"; readonly key: RowKey; readonly expect: Expectation }
  | { readonly kind: "delete"; readonly key: RowKey; readonly expect: Expectation };
