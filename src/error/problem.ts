import type { RandomSource } from "../random/random-source.js";
import { answerTable } from "./answer-table.js";
import type { ErrorKind } from "./error-kind.js";
import type { Outcome } from "./outcome.js";
import type { ServeError } from "./serve-error.js";

/** Share of the retry time added at random, so that refused callers do not return together. */
const RETRY_JITTER_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

/** An RFC 9457 problem document. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
  /** Whole seconds, as in the `Retry-After` header. */
  readonly retryAfter?: number;
}

/** Builds the problem document of an error; `random` spreads the retry time. */
export function problemOf(error: ServeError, random: RandomSource): Problem {
  const { status, title } = answerTable[error.kind];
  const problem = {
    type: `urn:nutmegstage:error:${error.kind}`,
    title,
    status,
    detail: error.message,
    kind: error.kind,
    outcome: error.outcome,
  };
  if (error.retryAfterMs === undefined) return problem;
  const spread = error.retryAfterMs * (1 + RETRY_JITTER_SHARE * random.fraction());
  return { ...problem, retryAfter: Math.max(1, Math.ceil(spread / MS_PER_SECOND)) };
}
