import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Fleet, FleetDaemon } from "../../standin/fleet.js";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import { post } from "../support/caller.js";
import { CallerLoad, faultOf } from "../support/caller-load.js";
import type { ScenarioWorld } from "../support/world.js";

const TOKENS = 8;
const SETTLE_MS = 500;

let load: CallerLoad | undefined;
let exits: (number | null)[] = [];
let stream: Promise<string | undefined>;

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
