import { z } from "zod";
import type { AnswerEvent } from "./answer-event.js";
import { answerEventSchema } from "./answer-event.js";
import type { AnswerRecord } from "./answer-record.js";

const schema = z.object({ tokens: z.array(z.string()), rest: z.array(answerEventSchema) });

/** Writes a finished answer as text from which `restoreAnswer` makes the same events. */
export function storedAnswer(record: AnswerRecord): string {
  const { events } = record;
  const tokens = events.flatMap((event) => (event.kind === "token" ? [event.text] : []));
  return JSON.stringify({ tokens, rest: events.slice(tokens.length) });
}

/** Fills a new record with a stored answer; throws if the text is malformed. */
export function restoreAnswer(record: AnswerRecord, text: string): void {
  const { tokens, rest } = schema.parse(JSON.parse(text));
  for (const token of tokens) record.token(token);
  for (const event of rest) copyEvent(record, event);
}

/** Adds an event of another answer to a record. */
export function copyEvent(record: AnswerRecord, event: AnswerEvent): void {
  switch (event.kind) {
    case "token":
      record.token(event.text);
      break;
    case "result":
      record.result(event.body);
      break;
    case "end":
      record.end();
      break;
    case "error":
      record.fail(event.problem);
      break;
  }
}
