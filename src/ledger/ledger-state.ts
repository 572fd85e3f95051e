/** State of a ledger row. */
export enum LedgerState {
  /** One attempt may dispatch or has dispatched. */
  Claimed = "claimed",
  /** The attempt was given up before dispatch; the next request with the key may claim. */
  Released = "released",
  /** The attempt ran to its end and its answer is stored. */
  Finished = "finished",
}
