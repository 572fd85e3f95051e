import type { Timers } from "../time/timers.js";

interface MissingVersion {
  readonly version: number;
  /** When this instance first heard of it, on the monotonic clock in ms. */
  readonly heardMs: number;
}

/** The versions of the configuration that other instances have and this one lacks. */
export class VersionLag {
  private missing: readonly MissingVersion[] = [];

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): VersionLag {
    return new VersionLag(timers);
  }

  /** Records a version of another instance. */
  record(version: number, own: number): void {
    const known = this.missing.filter((each) => each.version > own);
    const newest = known.at(-1)?.version ?? own;
    const heard = { version, heardMs: this.timers.now() };
    this.missing = version > newest ? [...known, heard] : known;
  }

  /** Time since this instance heard of the first version that it still lacks, in ms; 0 if none. */
  behindMs(own: number): number {
    const first = this.missing.find(({ version }) => version > own);
    return first === undefined ? 0 : this.timers.now() - first.heardMs;
  }
}
