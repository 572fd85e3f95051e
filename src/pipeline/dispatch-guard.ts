/** Checks and records each dispatch of an attempt to an upstream. */
export interface DispatchGuard {
  /**
   * Records a dispatch; throws if the request was abandoned or its deadline has passed. Must be
   * called synchronously, immediately before the attempt is written to the upstream.
   */
  recordDispatch(): void;
  /** Reverts one `recordDispatch` whose attempt certainly sent nothing to the upstream. */
  revertDispatch(): void;
}
