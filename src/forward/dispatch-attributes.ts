/** Attributes that are sent to an upstream with one attempt of a request. */
export interface DispatchAttributes {
  /** ID of the upstream that must respond. */
  readonly upstream: string;
  readonly remainingMs: number;
  readonly team: string | undefined;
  /** Handles of the stage results that the engine reads; undefined for routes without stages. */
  readonly inputs: readonly string[] | undefined;
  readonly lastEventId: string | undefined;
  /** 0 is the most urgent; undefined leaves the choice to the upstream. */
  readonly urgency: number | undefined;
}
