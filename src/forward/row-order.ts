/** Tells for one table which of two texts of a row was written first. */
export interface RowOrder {
  /**
   * Whether a text that was read after the store came back from a copy is older than the
   * remembered one. `read` is undefined if the store has no such row.
   */
  isOlder(key: string, read: string | undefined, remembered: string): boolean;
}
