import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Fleet, FleetDaemon } from "../../standin/fleet.js";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import { post } from "../support/caller.js";
import { CallerLoad, faultOf } from "../support/caller-load.js";
import type { ScenarioWorld } from "../support/world.js";

const TOKENS = 8;
const SETTLE_MS = 500;

const booking = {
  credential: sampleCredentials.seamstresses,
  pipeline: "booking",
  headers: { "idempotency-key": "stop-1" },
  body: { class: "fitting", deadlineMs: 5_000, input: { text: "book" }, stream: false },
};

let load: CallerLoad | undefined;
let exits: (number | null)[] = [];
let stream: Promise<string | undefined>;
let kept: string;
let ended: Promise<number | null>;

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends SIGTERM twice and waits for the end. */
async function stopped(daemon: FleetDaemon): Promise<void> {
  const ended = daemon.child.end("SIGTERM");
  await pause(SETTLE_MS);
  daemon.child.signal("SIGTERM");
  exits.push(await ended);
}

function daemon(fleet: Fleet, number: number): FleetDaemon {
  const found = fleet.daemons[number - 1];
  assert(found !== undefined);
  return found;
}

// A load that goes on after a failed step would keep the test run from ending.
After(async () => {
  await load?.stop();
  load = undefined;
});

Given("engines that stream for {int} ms", async function (this: ScenarioWorld, ms: number) {
  exits = [];
  const faults = { firstMs: 2, tokenMs: ms / TOKENS };
  for (const [id, { url }] of this.fleet.upstreams) {
    if (id.startsWith("advice")) await this.fleet.control(url, faults);
  }
});

Given(
  "a load of {int} callers that follow readiness",
  async function (this: ScenarioWorld, callers: number) {
    load = await CallerLoad.create(this.fleet, callers);
    await pause(SETTLE_MS);
  },
);

When(
  /^daemons ([\d, ]+) are stopped one after the other with two signals each$/,
  async function (this: ScenarioWorld, numbers: string) {
    for (const number of numbers.split(", ")) await stopped(daemon(this.fleet, Number(number)));
  },
);

When("each daemon is stopped and started again", async function (this: ScenarioWorld) {
  for (const each of [...this.fleet.daemons]) {
    await stopped(each);
    await this.fleet.startDaemon(each.settings);
    await pause(SETTLE_MS);
  }
});

When(
  "team {string} streams from daemon {int} while it stops",
  async function (this: ScenarioWorld, _team: string, number: number) {
    const { url, child } = daemon(this.fleet, number);
    stream = faultOf(url);
    await pause(100);
    child.signal("SIGTERM");
    await pause(SETTLE_MS);
  },
);

When(
  "team {string} has an answer of daemon {int}, which then stops",
  async function (this: ScenarioWorld, _team: string, number: number) {
    const { url, child } = daemon(this.fleet, number);
    const answer = await post(url, {
      credential: sampleCredentials.seamstresses,
      pipeline: "advice",
      body: { class: "chat", deadlineMs: 5_000, input: { text: "kept", maxTokens: TOKENS } },
    });
    kept = String(answer.headers.get("x-request-id"));
    ended = child.end("SIGTERM");
  },
);

Then(
  "the answer is read through daemon {int} every {int} ms for {int} s",
  async function (this: ScenarioWorld, number: number, interval: number, seconds: number) {
    const { url } = daemon(this.fleet, number);
    const headers = { authorization: `Bearer ${sampleCredentials.seamstresses}` };
    for (let passed = 0; passed < seconds * 1_000; passed += interval) {
      const { status } = await fetch(`${url}/v1/requests/${kept}`, { headers });
      assert.equal(status, 200, `after ${passed} ms`);
      await pause(interval);
    }
    exits.push(await ended);
  },
);

When(
  "a booking ends at daemon {int} in a table outage of {int} s, and the daemon stops",
  async function (this: ScenarioWorld, number: number, seconds: number) {
    const { fleet } = this;
    const { url, child } = daemon(fleet, number);
    await fleet.control(fleet.upstreams.get("booking-1")?.url ?? "", { firstMs: SETTLE_MS });
    const answered = post(url, booking);
    await pause(SETTLE_MS / 2);
    await fleet.control(fleet.tableUrl, { down: true });
    assert.equal((await answered).status, 200);
    ended = child.end("SIGTERM");
    await pause(seconds * 1_000);
    await fleet.control(fleet.tableUrl, { down: false });
    exits.push(await ended);
  },
);

Then(
  "the booking resent to daemon {int} is answered with {int}",
  async function (this: ScenarioWorld, number: number, status: number) {
    const { url } = daemon(this.fleet, number);
    let answer = await post(url, booking);
    // The daemon notices the end of the outage by paced probes.
    for (let tries = 0; answer.status === 503 && tries < 20; tries += 1) {
      await pause(SETTLE_MS);
      answer = await post(url, booking);
    }
    assert.equal(answer.status, status, JSON.stringify(answer.body));
  },
);

Then("the stopped daemons exit with 0", () => {
  assert(exits.length > 0);
  assert.deepEqual(
    exits,
    exits.map(() => 0),
  );
});

Then("no request of at least {int} was cut or refused", async (least: number) => {
  assert(load !== undefined);
  await load.stop();
  assert.deepEqual(load.faults, []);
  assert(load.answers >= least, `${load.answers} answers`);
});

Then(
  "a new request to daemon {int} is refused as {string} with outcome {string}",
  async function (this: ScenarioWorld, number: number, kind: string, outcome: string) {
    const { body } = await post(daemon(this.fleet, number).url, {
      credential: sampleCredentials.seamstresses,
      pipeline: "advice",
      body: { class: "chat", deadlineMs: 5_000, input: { text: "late", maxTokens: TOKENS } },
    });
    const problem = body as { kind: string; outcome: string };
    assert.deepEqual([problem.kind, problem.outcome], [kind, outcome]);
  },
);

Then("the stream is whole", async () => {
  assert.equal(await stream, undefined);
});
