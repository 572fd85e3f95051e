/** How often a table is read. */
export interface ReadSchedule {
  /** Time for which a read waits for a change, in ms. */
  readonly waitMs: number;
  /** Pause after each read, in ms. */
  readonly pauseMs: number;
}
