/** A registration with the timer service or another source of events. */
export interface Subscription {
  /** Ends the registration; calling it again has no effect. */
  cancel(): void;
}
