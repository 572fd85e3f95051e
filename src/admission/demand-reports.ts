import type { DemandDigest } from "./demand-digest.js";

/** Last demand digest of another instance. */
export interface DemandReport {
  readonly instance: string;
  /** Time since the digest was received, in ms. */
  readonly ageMs: number;
  readonly digest: DemandDigest;
}

/** Source of the demand digests of other instances. */
export interface DemandReports {
  reports(): readonly DemandReport[];
  /** Number of live instances, including this one. */
  liveInstances(): number;
}
