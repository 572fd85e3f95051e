import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { DropReason } from "../../src/upstream/drop-reason.js";
import type { EngineFaults } from "../../standin/engine-faults.js";
import { UpstreamTrial } from "../support/upstream-trial.js";
import type { ScenarioWorld } from "../support/world.js";

const SILENCE_AFTER_MS = 50;
const POLL_MS = 20;

const trials = new WeakMap<ScenarioWorld, UpstreamTrial>();

function trial(world: ScenarioWorld): UpstreamTrial {
  const found = trials.get(world);
  if (found === undefined) throw new Error("the scenario has no upstream");
  return found;
}

async function calls(
  world: ScenarioWorld,
  count: number,
  text = "text",
  idempotent = true,
): Promise<void> {
  const one = trial(world);
  one.ends = one.ends.filter(({ error }) => error !== undefined);
  await Promise.all(Array.from({ length: count }, () => one.call(text, idempotent)));
}

After(async function (this: ScenarioWorld) {
  await trials.get(this)?.stop();
});

Given("an upstream behind a relay", async function (this: ScenarioWorld) {
  trials.set(this, await UpstreamTrial.create());
});

Given(
  "an upstream call was answered {int} ms ago",
  async function (this: ScenarioWorld, ms: number) {
    await calls(this, 1);
    await delay(ms);
  },
);

Given("the upstream has answered {int} calls", async function (this: ScenarioWorld, count: number) {
  for (let at = 0; at < count; at += 1) await calls(this, 1);
});

Given("the upstream has the faults {string}", async function (this: ScenarioWorld, faults: string) {
  await trial(this).control(JSON.parse(faults) as Partial<EngineFaults>);
});

When("the upstream has no faults", async function (this: ScenarioWorld) {
  await trial(this).control({});
});

Given("the upstream has ended", async function (this: ScenarioWorld) {
  await trial(this).startProcess();
  await trial(this).child?.end("SIGKILL");
});

Given(
  "an upstream in its own process that crashes on {string}",
  async function (this: ScenarioWorld, crashOn: string) {
    await trial(this).startProcess();
    await trial(this).control({ crashOn });
  },
);

Given("an upstream in its own process that is stopped", async function (this: ScenarioWorld) {
  await trial(this).startProcess();
  trial(this).child?.signal("SIGSTOP");
});

When("the relay goes silent", function (this: ScenarioWorld) {
  trial(this).relay.silencePresent();
});

When(/^(\d+) upstream calls? (?:is|are) made$/, async function (this: ScenarioWorld, n: string) {
  await calls(this, Number(n));
});

When(
  "{int} upstream call that must not be sent twice is made",
  async function (this: ScenarioWorld, count: number) {
    await calls(this, count, "text", false);
  },
);

When(
  "{int} upstream call with text {string} is made",
  async function (this: ScenarioWorld, count: number, text: string) {
    await calls(this, count, text);
  },
);

When(
  "{int} upstream calls are made and the relay goes silent",
  async function (this: ScenarioWorld, count: number) {
    const made = calls(this, count);
    await delay(SILENCE_AFTER_MS);
    trial(this).relay.silencePresent();
    await made;
  },
);

When("{int} upstream stream is read", async function (this: ScenarioWorld, count: number) {
  await Promise.all(Array.from({ length: count }, () => trial(this).stream()));
});

When(
  "a stream of the upstream is left after {int} tokens",
  async function (this: ScenarioWorld, tokens: number) {
    await trial(this).leaveStream(tokens);
  },
);

Then(/^(\d+) upstream calls? (?:was|were) answered$/, function (this: ScenarioWorld, n: string) {
  const answered = trial(this).ends.filter(({ error }) => error === undefined);
  assert.equal(answered.length, Number(n), failures(trial(this)));
});

Then(
  /^(\d+) upstream calls? failed with "(.+)" and (may have been|was not) dispatched$/,
  function (this: ScenarioWorld, count: string, kind: string, dispatched: string) {
    const failed = trial(this).ends.flatMap(({ error }) => (error === undefined ? [] : [error]));
    assert.deepEqual(
      failed.map((error) => [error.kind, error.undispatched]),
      Array.from({ length: Number(count) }, () => [kind, dispatched === "was not"]),
      failures(trial(this)),
    );
  },
);

Then("the slowest took less than {int} ms", function (this: ScenarioWorld, ms: number) {
  const slowest = Math.max(...trial(this).ends.map(({ durationMs }) => durationMs));
  assert.ok(slowest < ms, `${slowest} ms`);
});

Then(
  "the upstream closed {int} connection without an answer",
  function (this: ScenarioWorld, count: number) {
    assert.equal(trial(this).upstream.hangUpCount, count);
  },
);

Then(
  "{int} answer was dropped as {string}",
  function (this: ScenarioWorld, count: number, reason: DropReason) {
    assert.equal(trial(this).dropped.count(reason), count);
  },
);

Then(
  "the upstream reports a load of {int} within {int} ms",
  async function (this: ScenarioWorld, load: number, ms: number) {
    const signal = AbortSignal.timeout(ms);
    while ((await trial(this).client.load(signal)) !== load) await delay(POLL_MS);
  },
);

function failures(one: UpstreamTrial): string {
  return one.ends.map(({ error }) => error?.stack ?? "answered").join("\n");
}
