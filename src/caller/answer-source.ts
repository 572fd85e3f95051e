import type { NumberedEvent } from "./numbered-event.js";

/** The answer of a request, held by this or another instance. */
export interface AnswerSource {
  readonly request: string;
  /**
   * Yields the events after position `after` in order, waiting for those still to come. Throws
   * `MalformedRequest` if the answer has no such position.
   */
  follow(after: number, signal: AbortSignal): AsyncIterable<readonly NumberedEvent[]>;
}
