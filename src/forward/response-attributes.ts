/** What an upstream's answer says of itself beside status and body. */
export interface ResponseAttributes {
  /** Undefined if the answer names no request. */
  readonly attemptId: string | undefined;
  /** Whether the upstream signed the answer as its own. */
  readonly signed: boolean;
  /** Whether the upstream states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether it did not run the request because results that it needs no longer exist. */
  readonly inputsGone: boolean;
  /** Whether the upstream says that it is leaving. */
  readonly leaving: boolean;
  /** Time for which a refusing upstream asks for no further requests, in ms; 0 if it does not. */
  readonly stayAwayMs: number;
}
