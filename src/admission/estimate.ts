/** What a pool expects of new work. */
export interface Estimate {
  /** Time until the work gets a slot, in ms. */
  readonly waitMs: number;
  /** Number of works that wait or are expected. */
  readonly waiting: number;
  /** Time from dispatch to the whole answer, in ms. */
  readonly serviceMs: number;
}
