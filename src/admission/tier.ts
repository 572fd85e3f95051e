/** Order in which capacity is given to work of all ranks; within a tier ranks come in order. */
export enum Tier {
  /** Within the target share of its class and the fair share of its team. */
  Target = 0,
  /** Within the fair share of its team only. */
  FairShare = 1,
  /** All other work. */
  Leftover = 2,
}
