import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { EventSourceParserStream } from "eventsource-parser/stream";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import type { CallerAnswer, ReceivedEvent } from "../support/caller-answer.js";
import { post, received } from "../support/caller.js";
import type { ScenarioWorld } from "../support/world.js";

const CREDENTIAL = sampleCredentials.seamstresses;
const BODY = { class: "chat", deadlineMs: 10_000, input: { text: "hello", maxTokens: 8 } };

let streaming: Promise<CallerAnswer | undefined>;
let before: CallerAnswer;

function stream({ fleet }: ScenarioWorld, daemon: number): Promise<CallerAnswer> {
  const { url } = fleet.daemon(daemon);
  return post(url, { credential: CREDENTIAL, pipeline: "advice", body: BODY });
}

When(
  "a caller begins a stream through daemon {int}",
  function (this: ScenarioWorld, daemon: number) {
    streaming = stream(this, daemon).catch(() => undefined);
  },
);
When("the caller has the answer", async function (this: ScenarioWorld) {
  const answer = await streaming;
  assert.ok(answer !== undefined, "the connection broke");
  this.answer = answer;
});
When(
  "the stream breaks and the caller sends the request to daemon {int}",
  async function (this: ScenarioWorld, daemon: number) {
    assert.equal(await streaming, undefined);
    this.answer = await stream(this, daemon);
  },
);
When(
  "a caller of daemon {int} disconnects after {int} tokens",
  async function (this: ScenarioWorld, daemon: number, tokens: number) {
    const { url } = this.fleet.daemon(daemon);
    const response = await fetch(`${url}/v1/pipelines/advice/requests`, {
      method: "POST",
      headers: { authorization: `Bearer ${CREDENTIAL}`, "content-type": "application/json" },
      body: JSON.stringify(BODY),
    });
    const { status, headers, body } = response;
    assert.ok(body !== null);
    const events: ReceivedEvent[] = [];
    const parsed = body
      .pipeThrough(new TextDecoderStream())
      .pipeThrough(new EventSourceParserStream());
    for await (const { id, event, data } of parsed) {
      events.push({ id: Number(id), kind: event ?? "", data: JSON.parse(data) });
      // Leaving the loop cancels the body, which closes the connection.
      if (events.length === tokens) break;
    }
    before = { status, headers, events, body: undefined };
  },
);
When(
  "the caller resumes through daemon {int} after the last event it has",
  async function (this: ScenarioWorld, daemon: number) {
    const request = before.headers.get("x-request-id") ?? "";
    const url = `${this.fleet.daemon(daemon).url}/v1/requests/${request}/events`;
    const after = String(before.events.at(-1)?.id);
    const headers = { authorization: `Bearer ${CREDENTIAL}`, "last-event-id": after };
    const rest = await received(await fetch(url, { headers }));
    assert.ok(rest.events.length > 0, JSON.stringify(rest.body));
    this.answer = { ...rest, events: [...before.events, ...rest.events] };
  },
);

Then("one request was generated", async function (this: ScenarioWorld) {
  let count = 0;
  for (const [id, { url }] of this.fleet.upstreams) {
    if (!id.startsWith("advice")) continue;
    count += ((await (await fetch(`${url}/work`)).json()) as { received: number }).received;
  }
  assert.equal(count, 1);
});
