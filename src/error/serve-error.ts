import { answerTable } from "./answer-table.js";
import type { ErrorContext } from "./error-context.js";
import type { ErrorKind } from "./error-kind.js";
import { Outcome } from "./outcome.js";

/** The only error class that crosses module boundaries. */
export class ServeError extends Error {
  override readonly name = "ServeError";
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
  /** Whether the attempt that failed certainly handed nothing to an upstream. */
  readonly undispatched: boolean;
  /** Earliest useful retry in ms from now; absent if a retry cannot help. */
  readonly retryAfterMs: number | undefined;

  private constructor(kind: ErrorKind, detail: string, context: ErrorContext) {
    super(detail, { cause: context.cause });
    const answer = answerTable[kind];
    this.kind = kind;
    this.outcome = context.outcome ?? answer.outcome;
    this.undispatched = context.undispatched ?? false;
    this.retryAfterMs = context.retryAfterMs ?? answer.retryAfterMs;
  }

  static create(kind: ErrorKind, detail: string, context: ErrorContext = {}): ServeError {
    return new ServeError(kind, detail, context);
  }

  /** Converts anything that was thrown; a `ServeError` is returned as it is. */
  static from(thrown: unknown, fallback: ErrorKind): ServeError {
    if (thrown instanceof ServeError) return thrown;
    const detail = thrown instanceof Error ? thrown.message : String(thrown);
    return new ServeError(fallback, detail, { cause: thrown });
  }

  /** The same error for an attempt that certainly handed nothing to an upstream. */
  asUndispatched(): ServeError {
    const { retryAfterMs, outcome } = this;
    return new ServeError(this.kind, this.message, {
      outcome,
      cause: this,
      undispatched: true,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
  }

  /** The same error for a request of which at least one stage was handed to an upstream. */
  afterDispatch(): ServeError {
    if (this.outcome !== Outcome.NotRun) return this;
    const { retryAfterMs } = this;
    return new ServeError(this.kind, this.message, {
      outcome: Outcome.MayHaveRun,
      cause: this,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
  }
}
