import type { Row } from "./row.js";
import type { RowKey } from "./row-key.js";
import type { TableWrite } from "./table-write.js";
import type { TransactionResult } from "./transaction-result.js";

/** Largest number of writes in one transaction. */
export const TRANSACTION_WRITES = 100;

/**
 * The platform's transactional table service.
 * Every method throws `TableUnavailable` if nothing was applied; `transact` throws
 * `TableUncertain` if the writes may have been applied.
 */
export interface Table {
  /** Reads a row with strong consistency. */
  get(key: RowKey): Promise<Row | undefined>;
  /** Reads at most `limit` rows of a partition whose sort key is above `after`, in key order. */
  query(partition: string, after: string, limit: number): Promise<Row[]>;
  /** Applies all writes or none; repeating the same token within 10 minutes applies them once. */
  transact(writes: readonly TableWrite[], token: string): Promise<TransactionResult>;
}
