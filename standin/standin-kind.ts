/** The outside systems that a stand-in process can take the place of. */
export enum StandinKind {
  Table = "table",
  InstanceList = "instance-list",
  Upstream = "upstream",
  WeightStore = "weight-store",
}
