/** What one run measured. */
export interface SpreadFigures {
  readonly variant: string;
  readonly members: number;
  /** Mean bytes sent per daemon and second without faults, one update every two seconds. */
  readonly quietBytes: number;
  /** The same over the whole run, with all faults. */
  readonly totalBytes: number;
  /** The highest mean of one daemon over ten seconds. */
  readonly peakBytes: number;
  /** Broadcast calls per update without faults. */
  readonly calls: number;
  /** Highest number of broadcast calls of one daemon for the five updates without faults. */
  readonly mostCalls: number;
  /** Times to the last running instance, in ms. */
  readonly deadMs: number;
  readonly frozenMs: number;
  readonly cutMs: number;
}
