import type { AnswerEvent } from "./answer-event.js";

/** Writes one event of an answer as a server-sent event. */
export function eventText(id: number, event: AnswerEvent): string {
  return `id: ${id}\nevent: ${event.kind}\ndata: ${JSON.stringify(dataOf(event))}\n\n`;
}

function dataOf(event: AnswerEvent): unknown {
  switch (event.kind) {
    case "token":
      return { text: event.text };
    case "result":
      return event.body;
    case "end":
      return { length: event.length, digest: event.digest };
    case "error":
      return event.problem;
  }
}
