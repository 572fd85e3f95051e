/** What the instance that took a request knows about its dispatch. */
export enum AttemptState {
  /** Neither dispatched nor abandoned yet. */
  Waiting = "waiting",
  Dispatched = "dispatched",
  /** Will never be dispatched. */
  Abandoned = "abandoned",
  /** Not known to the instance. */
  Unknown = "unknown",
}
