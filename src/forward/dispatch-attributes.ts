/** What is told to an upstream with one attempt of a request. */
export interface DispatchAttributes {
  /** Id of the upstream that must answer. */
  readonly upstream: string;
  readonly remainingMs: number;
  readonly team: string | undefined;
  /** Handles of the results that the engine reads; undefined for routes without stages. */
  readonly inputs: readonly string[] | undefined;
  readonly lastEventId: string | undefined;
  /** 0 is the most urgent; undefined leaves it to the upstream. */
  readonly urgency: number | undefined;
}
