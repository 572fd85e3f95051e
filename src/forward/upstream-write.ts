/** A write of an upstream to its row. */
export interface UpstreamWrite {
  /** Start of the upstream's process in ms since the epoch; 0 if unknown. */
  readonly startedMs: number;
  /** Increases with each write of a process. */
  readonly sequence: number;
}
