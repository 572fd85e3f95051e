import type { Members } from "../peer/members.js";
import type { Timers } from "../time/timers.js";
import type { VersionAgreement } from "./version-agreement.js";

interface Parts {
  readonly timers: Timers;
  readonly members: Members;
  readonly versionAgreement: VersionAgreement;
}

/** Whether this instance knows that its configuration was the newest a short time ago. */
export class ConfigurationCurrency {
  private constructor(
    private readonly parts: Parts,
    private readonly boundMs: number,
  ) {}

  /** `boundMs` is the time for which a read or a report counts. */
  static create(parts: Parts, boundMs: number): ConfigurationCurrency {
    return new ConfigurationCurrency(parts, boundMs);
  }

  /** Time since the head row was known to hold no version above the one in force, in ms. */
  get unreadMs(): number {
    return this.parts.timers.now() - this.parts.versionAgreement.readTime;
  }

  /**
   * Whether `version`, the one in force, is current: the head was read, here or by an instance that
   * said so, or more than half of the known members, this one and dead ones included, reported no
   * higher version. Dead members count because a minority that is cut off takes the others for
   * dead.
   */
  covers(version: number): boolean {
    if (version === 0) return false;
    if (this.unreadMs <= this.boundMs) return true;
    const { members, versionAgreement } = this.parts;
    const known = members.all().length + 1;
    return known > 1 && (versionAgreement.agreeing() + 1) * 2 > known;
  }
}
