/** How requests are admitted and routed in a run; all but the first are baselines. */
export enum Policy {
  Nutmegstage = "nutmegstage",
  /** The same with limits that do not adapt and an even split between instances. */
  FixedLimits = "fixed limits",
  FirstComeFirstServed = "first come first served",
  Random = "random",
  RoundRobin = "round robin",
  LeastOutstanding = "least outstanding",
}
