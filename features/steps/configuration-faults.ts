import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { Then, When } from "@cucumber/cucumber";
import { FleetOperators } from "../support/fleet-operators.js";
import type { ScenarioWorld } from "../support/world.js";

const POLL_MS = 20;

const ofFleets = new WeakMap<object, FleetOperators>();
let receivedAtBound = 0;

function operatorsOf({ fleet }: ScenarioWorld): FleetOperators {
  const known = ofFleets.get(fleet) ?? FleetOperators.create(fleet);
  ofFleets.set(fleet, known);
  return known;
}

async function received({ fleet }: ScenarioWorld, upstream: string): Promise<number> {
  const url = fleet.upstreams.get(upstream)?.url ?? "";
  return ((await (await fetch(`${url}/work`)).json()) as { received: number }).received;
}

When(
  "{word} sends change {string} on version {int} to daemon {int}",
  function (this: ScenarioWorld, operator: string, id: string, base: number, daemon: number) {
    operatorsOf(this).change(operator, id, base, daemon);
  },
);
When("the operators have their answers", async function (this: ScenarioWorld) {
  await operatorsOf(this).answers();
});
When(
  "upstream {word} is marked leaving through daemon {int}",
  function (this: ScenarioWorld, upstream: string, daemon: number) {
    return operatorsOf(this).leave(upstream, daemon);
  },
);
When(
  "the requests that {word} has received are counted",
  async function (this: ScenarioWorld, upstream: string) {
    receivedAtBound = await received(this, upstream);
    assert.ok(receivedAtBound > 0);
  },
);

Then(
  "the operators are answered {string} in any order",
  async function (this: ScenarioWorld, expected: string) {
    assert.equal([...(await operatorsOf(this).answers())].sort().join("; "), expected);
  },
);
Then(
  /^within (\d+) ms daemons ([\d, ]+) hold version (\d+)$/,
  async function (this: ScenarioWorld, ms: string, daemons: string, version: string) {
    const numbers = daemons.split(", ").map(Number);
    const tookMs = await operatorsOf(this).reach(numbers, Number(version), Number(ms));
    this.log(`in force after ${Math.round(tookMs)} ms`);
  },
);
Then(
  "daemon {int} holds version {int} when it is first ready",
  async function (this: ScenarioWorld, daemon: number, version: number) {
    const { url } = this.fleet.daemon(daemon);
    while (!(await fetch(`${url}/readyz`)).ok) await delay(POLL_MS);
    assert.equal(await operatorsOf(this).version(daemon), version);
  },
);
Then(
  "{word} has received no further request",
  async function (this: ScenarioWorld, upstream: string) {
    assert.equal(await received(this, upstream), receivedAtBound);
  },
);
