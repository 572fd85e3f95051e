import type { Timers } from "../time/timers.js";
import type { Grant } from "./limit-messages.js";

/**
 * Time after its grant within which a permit is used; a few round trips between regions. A limit
 * is granted a little slower than stated, so that late use does not exceed it in any window.
 */
export const PERMIT_LIFETIME_MS = 400;

/** The right to send one request to an upstream that states a limit. */
export class Permit {
  private used = false;

  private constructor(
    private readonly timers: Timers,
    readonly grant: Grant,
    private readonly expiresMs: number,
  ) {}

  /** `grantedBeforeMs` is a time at or before the grant, on this instance's clock. */
  static create(timers: Timers, grant: Grant, grantedBeforeMs: number): Permit {
    return new Permit(timers, grant, grantedBeforeMs + PERMIT_LIFETIME_MS);
  }

  get valid(): boolean {
    return !this.used && this.timers.now() < this.expiresMs;
  }

  /** Uses the permit; returns false if it has expired or was used before. */
  tryUse(): boolean {
    if (!this.valid) return false;
    this.used = true;
    return true;
  }
}
