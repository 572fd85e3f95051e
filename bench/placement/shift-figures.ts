/** Figures after one shift of demand. */
export interface ShiftFigures {
  /** Time from the shift until 95% of the requests for the model in demand are served, in ms. */
  readonly recoveryMs: number;
  /** Share of these requests that was served until the next shift. */
  readonly served: number;
  readonly loads: number;
  readonly mostLoadsOfAnEngine: number;
}
