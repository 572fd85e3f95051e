import type { Members } from "../peer/members.js";
import type { PeerVersions } from "../peer/peer-versions.js";
import type { Timers } from "../time/timers.js";

interface Parts {
  readonly timers: Timers;
  readonly members: Members;
  readonly peerVersions: PeerVersions;
}

/** When this instance last knew that its configuration was the newest. */
export class ConfigurationCurrency {
  private tableRead = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly parts: Parts,
    private readonly boundMs: number,
  ) {}

  /** `boundMs` is the time for which a read or a report counts. */
  static create(parts: Parts, boundMs: number): ConfigurationCurrency {
    return new ConfigurationCurrency(parts, boundMs);
  }

  /** Records that the head read at `time`, on the monotonic clock, is in force here. */
  confirmed(time: number): void {
    this.tableRead = Math.max(this.tableRead, time);
  }

  /**
   * Whether `version` is current: the head was read, or more than half of the known members, this
   * one and dead ones included, reported no higher version. Dead members count because a minority
   * that is cut off takes the others for dead.
   */
  covers(version: number): boolean {
    if (version === 0) return false;
    const { timers, members, peerVersions } = this.parts;
    if (this.tableRead >= timers.now() - this.boundMs) return true;
    const others = new Set(members.all().map(({ id }) => id));
    const heard = peerVersions
      .versions()
      .filter((report) => others.has(report.instance))
      .filter((report) => report.ageMs <= this.boundMs && report.version <= version);
    return others.size > 0 && (heard.length + 1) * 2 > others.size + 1;
  }
}
