import type { DemandDigest } from "./demand-digest.js";

/** The demand that another instance reported. */
export interface DemandReport {
  readonly instance: string;
  /** Time since it was received, in ms. */
  readonly ageMs: number;
  readonly digest: DemandDigest;
}

/** The demand that other live instances reported. */
export interface DemandReports {
  reports(): readonly DemandReport[];
  /** Live instances including this one. */
  liveInstances(): number;
}
