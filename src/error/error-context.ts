import type { Outcome } from "./outcome.js";

/** What a thrower knows beyond the kind of an error. */
export interface ErrorContext {
  readonly cause?: unknown;
  /** Replaces the outcome of the answer table. */
  readonly outcome?: Outcome;
  /** True if the failed attempt certainly handed nothing to an upstream. */
  readonly undispatched?: boolean;
  /** Replaces the retry time of the answer table, in ms. */
  readonly retryAfterMs?: number;
}
