import type { ServeError } from "../error/serve-error.js";

/** An attempt in progress that a crash of its upstream would be attributed to. */
export interface TrackedAttempt {
  /** Aborts with `RequestSuspected` when the content becomes suspect during a shared attempt. */
  readonly signal: AbortSignal;
  /** Must be called once when the attempt ends; `failure` is undefined if it succeeded. */
  end(failure: ServeError | undefined): void;
}
