import type { Outcome } from "./outcome.js";

/** The answer that the outside world gets for an error kind. */
export interface Answer {
  /** HTTP status code. */
  readonly status: number;
  readonly title: string;
  /** Outcome when no stage of the request was handed to an upstream. */
  readonly outcome: Outcome;
  /** Shortest time after which the caller may try again, in ms; absent if a retry cannot help. */
  readonly retryAfterMs?: number;
}
