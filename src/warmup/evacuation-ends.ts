/** When the evacuations of data centres have ended. */
export interface EvacuationEnds {
  /** Time of the last end on the monotonic clock in ms; undefined if there was none. */
  endedMs(dataCentre: string): number | undefined;
}
