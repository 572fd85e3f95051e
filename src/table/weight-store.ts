/** The rate-limited store that engines load weights from. */
export interface WeightStore {
  /**
   * Resolves when the load of a model of that size may begin within the store's rate. Throws
   * `UpstreamFailed` if the store does not answer, or the signal's reason.
   */
  reserve(model: string, bytes: number, signal: AbortSignal): Promise<void>;
}
