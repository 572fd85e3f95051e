/** Whether an upstream may get new work. */
export enum UpstreamState {
  Active = "active",
  Leaving = "leaving",
}
