/** A limit that an upstream states for the requests of all instances together. */
export interface StatedLimit {
  /** Requests per second. */
  readonly perSecond: number;
  /** Instance that received the statement from the upstream. */
  readonly receiver: string;
  /** Time at which this instance learnt of it, on the monotonic clock in ms. */
  readonly learntMs: number;
  /** Whether the owner of the limit knows of it. */
  readonly reported: boolean;
}
