import type { Timers } from "../time/timers.js";
import type { Grant } from "./limit-messages.js";

/**
 * Time after its grant within which a permit is used; a few round trips between regions. A limit
 * is granted a little slower than stated, so that late use does not exceed it in any window.
 */
export const PERMIT_LIFETIME_MS = 400;

/** For what a permit holds. */
export enum PermitUse {
  StatedLimit = "stated-limit",
  Warmup = "warmup",
}

/** The right to send one request to an upstream that states a limit or is cold. */
export class Permit {
  private used = false;

  private constructor(
    private readonly timers: Timers,
    readonly grant: Grant,
    /** A time at or before the grant, on this instance's clock. */
    readonly grantedBeforeMs: number,
    readonly use: PermitUse,
  ) {}

  /** `grantedBeforeMs` is a time at or before the grant, on this instance's clock. */
  static create(
    timers: Timers,
    grant: Grant,
    grantedBeforeMs: number,
    use = PermitUse.StatedLimit,
  ): Permit {
    return new Permit(timers, grant, grantedBeforeMs, use);
  }

  get valid(): boolean {
    return !this.used && this.timers.now() < this.grantedBeforeMs + PERMIT_LIFETIME_MS;
  }

  /** Uses the permit; returns false if it has expired, was used before or is of another use. */
  tryUse(use = PermitUse.StatedLimit): boolean {
    if (!this.valid || use !== this.use) return false;
    this.used = true;
    return true;
  }
}
