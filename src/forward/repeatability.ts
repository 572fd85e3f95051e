/** How often one request of a route may run. */
export enum Repeatability {
  Idempotent = "idempotent",
  NonIdempotent = "non-idempotent",
  /** Answered by an event stream; repeatable only where the stream may be resumed. */
  Stream = "stream",
}
