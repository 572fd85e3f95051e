/** Attributes of an upstream's response that its status and headers state. */
export interface ResponseAttributes {
  /** Undefined if the response names no request. */
  readonly attemptId: string | undefined;
  /** Whether the upstream signed the response as its own. */
  readonly signed: boolean;
  /** Whether the upstream states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether another upstream than the expected one answered; it did not run the request. */
  readonly misdirected: boolean;
  /** Whether the request did not run because stage results that it needs no longer exist. */
  readonly inputsGone: boolean;
  /** Whether the upstream states that it is leaving. */
  readonly leaving: boolean;
  /**
   * Requests per second that the upstream accepts from all instances together; undefined if it
   * states no limit.
   */
  readonly requestsPerSecond: number | undefined;
  /**
   * Requests turned away in a second that the upstream bears without ending; undefined if it is not
   * brittle.
   */
  readonly toleratedRejections: number | undefined;
  /** Time for which a refusing upstream asks to get no further requests, in ms; 0 if none. */
  readonly stayAwayMs: number;
  /** Time for which the upstream stays cold, in ms; undefined if it does not say. */
  readonly remainingWarmupMs?: number;
}
