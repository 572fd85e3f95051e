/** Result of adding bytes to a `ByteBuffer`. */
export enum AppendResult {
  Added = "added",
  /** The buffer would exceed its own limit. */
  TooLarge = "too large",
  /** All buffers together would exceed the budget. */
  NoMemory = "no memory",
}
