/** A server-sent event as a caller received it. */
export interface ReceivedEvent {
  readonly id: number;
  readonly kind: string;
  readonly data: unknown;
}

/** What a caller received for one request. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly events: readonly ReceivedEvent[];
  /** Body of an answer that is not an event stream. */
  readonly body: unknown;
}
