/** How a transaction ended. */
export type TransactionResult =
  | { readonly kind: "committed" }
  /** Nothing was written; `failed` holds the positions whose expectation was not met. */
  | { readonly kind: "rejected"; readonly failed: readonly number[] };
