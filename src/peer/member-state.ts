/** State of an instance as another one sees it. */
export enum MemberState {
  Alive = "alive",
  Suspect = "suspect",
  Leaving = "leaving",
  Dead = "dead",
}
