/** Why a request goes to an engine. */
export enum PlacementReason {
  /** The first home of its part. */
  Home = "home",
  /** Another home of a part that brings too much work for one engine. */
  FurtherHome = "further-home",
  /** The home is so busy that another engine is faster even if it has to read all parts. */
  Faster = "faster",
  /** To find out whether a slow or failing engine has recovered. */
  Probe = "probe",
  /** No engine is known to be reachable. */
  Unreachable = "unreachable",
}
