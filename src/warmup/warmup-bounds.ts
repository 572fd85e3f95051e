import { PERMIT_LIFETIME_MS } from "../limit/permit.js";

/** What the platform bears beyond the rate that a cold upstream is configured for. */
export interface WarmupBounds {
  /** Multiple of the configured rate that a cold upstream bears. */
  readonly factor: number;
  /** Requests of one second that a cold upstream bears beside that multiple. */
  readonly slack: number;
}

const MS_PER_SECOND = 1_000;
/** The most that two instances grant together while they disagree on who owns a limit. */
const DISAGREEMENT_FACTOR = 1.5;
/** Grants at the start of a window, one by each of two owners. */
const FIRST_GRANTS = 2;

/**
 * Requests per second that may be granted for a cold upstream of the configured rate, so that no
 * second exceeds the bound: permits that are used late add to those of the second after, and the
 * grants of two owners may add up.
 */
export function warmupPace(perSecond: number, { factor, slack }: WarmupBounds): number {
  const bound = perSecond * factor + slack;
  const spread = (MS_PER_SECOND + PERMIT_LIFETIME_MS) / MS_PER_SECOND;
  return Math.max(0, Math.min(perSecond, (bound - FIRST_GRANTS) / (DISAGREEMENT_FACTOR * spread)));
}
