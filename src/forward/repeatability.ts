/** Whether a request of a route may run more than once. */
export enum Repeatability {
  Idempotent = "idempotent",
  NonIdempotent = "non-idempotent",
  /** Answered by an event stream; repeatable only if the stream is resumable. */
  Stream = "stream",
}
