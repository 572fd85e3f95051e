/** What is believed of another instance. */
export enum MemberState {
  Alive = "alive",
  Suspect = "suspect",
  Leaving = "leaving",
  Dead = "dead",
}
