/** Tables of the platform's store that daemons read. */
export enum StoreTable {
  Configuration = "configuration",
  Upstreams = "upstreams",
  Instances = "instances",
  Convictions = "convictions",
  VersionPlans = "version-plans",
  StreamRecords = "stream-records",
}
