import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { Then } from "@cucumber/cucumber";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import type { CallerAnswer } from "../support/caller-answer.js";
import { post, received } from "../support/caller.js";
import type { ScenarioWorld } from "../support/world.js";

const CREDENTIAL = sampleCredentials.seamstresses;
const KEY = "deposit-of-a-fleet";
const BODY = { class: "fitting", deadlineMs: 5_000, input: { text: "hello", maxTokens: 8 } };
/** Heartbeats must have introduced the daemons to each other. */
const INTRODUCTION_MS = 2_500;

function send(world: ScenarioWorld, daemon: number, pipeline: string): Promise<CallerAnswer> {
  const headers = { "idempotency-key": KEY };
  const request = { credential: CREDENTIAL, pipeline, body: BODY, headers };
  return post(world.fleet.daemons[daemon - 1]?.url ?? "", request);
}

async function read(world: ScenarioWorld, daemon: number, path: string, after: number) {
  const headers = { authorization: `Bearer ${CREDENTIAL}`, "last-event-id": String(after) };
  const url = (world.fleet.daemons[daemon - 1]?.url ?? "") + path;
  return received(await fetch(url, { headers }));
}

Then(
  "an answer of daemon {int} is resumed through daemon {int} after event {int}",
  async function (this: ScenarioWorld, holder: number, reader: number, after: number) {
    await delay(INTRODUCTION_MS);
    const whole = await send(this, holder, "advice");
    const path = `/v1/requests/${whole.headers.get("x-request-id") ?? ""}/events`;
    const rest = await read(this, reader, path, after);
    assert.equal(whole.events.length, 9);
    assert.deepEqual(rest.events, whole.events.slice(after));
  },
);

Then(
  "a booking of daemon {int} that is resent to daemon {int} gets the same events",
  async function (this: ScenarioWorld, first: number, second: number) {
    const original = await send(this, first, "booking");
    const resent = await send(this, second, "booking");
    assert.deepEqual(
      original.events.map(({ kind }) => kind),
      ["result", "end"],
    );
    assert.deepEqual(resent.events, original.events);
  },
);

Then(
  "an answer of daemon {int} gets {string} from daemon {int} after its daemon was killed",
  async function (this: ScenarioWorld, holder: number, kind: string, reader: number) {
    await delay(INTRODUCTION_MS);
    const whole = await send(this, holder, "advice");
    await this.fleet.daemons[holder - 1]?.child.end("SIGKILL");
    const path = `/v1/requests/${whole.headers.get("x-request-id") ?? ""}/events`;
    const { status, body } = await read(this, reader, path, 0);
    assert.deepEqual([status, (body as { kind: string }).kind], [503, kind]);
  },
);
