/** The configuration version that another instance reported. */
export interface VersionReport {
  readonly instance: string;
  readonly version: number;
  /** Time since it was received, in ms. */
  readonly ageMs: number;
}

/** Configuration versions in force at other live instances, as their heartbeats carry them. */
export interface PeerVersions {
  versions(): readonly VersionReport[];
}
