/** Usability of another instance's answer to a row query. */
export enum PeerAnswer {
  /** The cached rows are now current. */
  Current,
  /** The changes were too large to be sent and have to be read from the store. */
  TooLarge,
  /** The instance did not answer, or its rows are not fresh. */
  Unusable,
}
