/** Why an answer of an upstream was not used. */
export enum DropReason {
  /** Its `x-request-id` header names another call. */
  OtherCall = "other-call",
  Malformed = "malformed",
  TooLarge = "too-large",
  /** Another attempt of the stage had already won. */
  Late = "late",
}
