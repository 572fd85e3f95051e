import type { AnswerEvent } from "./answer-event.js";

/** An event with its position in the answer, from 1. */
export interface NumberedEvent {
  readonly id: number;
  readonly event: AnswerEvent;
}
