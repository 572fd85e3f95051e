/** Stage results that an engine reads for a request. */
export interface StageInputs {
  readonly handles: readonly string[];
  /** Data centre that the results were made for; undefined if there was none. */
  readonly dataCentre: string | undefined;
}
