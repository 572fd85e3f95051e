import { EventSourceParserStream } from "eventsource-parser/stream";
import type { CallerAnswer, ReceivedEvent } from "./caller-answer.js";

/** What a test posts to a pipeline. */
export interface Post {
  readonly credential: string;
  readonly pipeline: string;
  readonly body: object;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Posts a request and reads the answer to its end. */
export async function post(url: string, request: Post): Promise<CallerAnswer> {
  const response = await fetch(`${url}/v1/pipelines/${request.pipeline}/requests`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${request.credential}`,
      "content-type": "application/json",
      ...request.headers,
    },
    body: JSON.stringify(request.body),
  });
  return received(response);
}

/** Reads a response to its end. */
export async function received(response: Response): Promise<CallerAnswer> {
  const { status, headers } = response;
  if (headers.get("content-type")?.startsWith("text/event-stream") !== true) {
    return { status, headers, events: [], body: await response.json() };
  }
  return { status, headers, events: await eventsOf(response), body: undefined };
}

async function eventsOf(response: Response): Promise<ReceivedEvent[]> {
  if (response.body === null) return [];
  const stream = response.body
    .pipeThrough(new TextDecoderStream())
    .pipeThrough(new EventSourceParserStream());
  const events: ReceivedEvent[] = [];
  for await (const { id, event, data } of stream) {
    events.push({ id: Number(id), kind: event ?? "", data: JSON.parse(data) });
  }
  return events;
}
