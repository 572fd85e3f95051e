/** The key of a table row. */
export interface RowKey {
  readonly partition: string;
  readonly sort: string;
}
