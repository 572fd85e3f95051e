/** Consulted synchronously, immediately before an attempt is written to an upstream. */
export interface DispatchGuard {
  /** Throws if the request was abandoned; otherwise records that a stage was dispatched. */
  recordDispatch(): void;
  /** Takes back one `beforeDispatch` whose attempt certainly handed nothing over. */
  revertDispatch(): void;
}
