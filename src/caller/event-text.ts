import type { AnswerEvent } from "./answer-event.js";

const MS_PER_SECOND = 1_000;

/** Writes one event of an answer as a server-sent event. */
export function eventText(id: number, event: AnswerEvent): string {
  const retry = event.kind === "error" ? retryText(event.problem.retryAfter) : "";
  return `id: ${id}\nevent: ${event.kind}\n${retry}data: ${JSON.stringify(dataOf(event))}\n\n`;
}

/** The reconnection time of the event stream format is in ms. */
function retryText(retryAfter: number | undefined): string {
  return retryAfter === undefined ? "" : `retry: ${retryAfter * MS_PER_SECOND}\n`;
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
