/** How far the response of an attempt had come when it broke off. */
export enum AttemptPhase {
  /** No head of a response had arrived; the request may have been queued. */
  Waiting = "waiting",
  /** The response had begun, without a complete event or body. */
  Begun = "begun",
  /** At least one complete event, or the whole body, had arrived. */
  Answered = "answered",
}
