import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { DropReason } from "../../src/upstream/drop-reason.js";
import type { EngineFaults } from "../../standin/engine-faults.js";
import { UpstreamTrial } from "../support/upstream-trial.js";
import type { ScenarioWorld } from "../support/world.js";

const SILENCE_DELAY_MS = 50;
const POLL_INTERVAL_MS = 20;

const trials = new WeakMap<ScenarioWorld, UpstreamTrial>();

function trialOf(world: ScenarioWorld): UpstreamTrial {
  const found = trials.get(world);
  if (found === undefined) throw new Error("the scenario has no upstream");
  return found;
}

async function makeCalls(
  world: ScenarioWorld,
  count: number,
  text = "text",
  idempotent = true,
): Promise<void> {
  const trial = trialOf(world);
  trial.calls = trial.calls.filter(({ error }) => error !== undefined);
  await Promise.all(Array.from({ length: count }, () => trial.call(text, idempotent)));
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
    await makeCalls(this, 1);
    await delay(ms);
  },
);

Given("the upstream has answered {int} calls", async function (this: ScenarioWorld, count: number) {
  for (let index = 0; index < count; index += 1) await makeCalls(this, 1);
});

Given("the upstream has the faults {string}", async function (this: ScenarioWorld, faults: string) {
  await trialOf(this).setFaults(JSON.parse(faults) as Partial<EngineFaults>);
});

When("the upstream has no faults", async function (this: ScenarioWorld) {
  await trialOf(this).setFaults({});
});

Given("the upstream has ended", async function (this: ScenarioWorld) {
  await trialOf(this).startProcess();
  await trialOf(this).child?.end("SIGKILL");
});

Given(
  "an upstream in its own process that crashes on {string}",
  async function (this: ScenarioWorld, crashOn: string) {
    await trialOf(this).startProcess();
    await trialOf(this).setFaults({ crashOn });
  },
);

Given("an upstream in its own process that is stopped", async function (this: ScenarioWorld) {
  await trialOf(this).startProcess();
  trialOf(this).child?.signal("SIGSTOP");
});

When("the relay goes silent", function (this: ScenarioWorld) {
  trialOf(this).relay.silencePresent();
});

When(
  /^(\d+) upstream calls? (?:is|are) made$/,
  async function (this: ScenarioWorld, count: string) {
    await makeCalls(this, Number(count));
  },
);

When(
  "{int} upstream call that must not be sent twice is made",
  async function (this: ScenarioWorld, count: number) {
    await makeCalls(this, count, "text", false);
  },
);

When(
  "{int} upstream call with text {string} is made",
  async function (this: ScenarioWorld, count: number, text: string) {
    await makeCalls(this, count, text);
  },
);

When(
  "{int} upstream calls are made and the relay goes silent",
  async function (this: ScenarioWorld, count: number) {
    const made = makeCalls(this, count);
    await delay(SILENCE_DELAY_MS);
    trialOf(this).relay.silencePresent();
    await made;
  },
);

When("{int} upstream stream is read", async function (this: ScenarioWorld, count: number) {
  await Promise.all(Array.from({ length: count }, () => trialOf(this).stream()));
});

When(
  "a stream of the upstream is cancelled after {int} tokens",
  async function (this: ScenarioWorld, tokens: number) {
    await trialOf(this).cancelStream(tokens);
  },
);

Then(
  /^(\d+) upstream calls? (?:was|were) answered$/,
  function (this: ScenarioWorld, count: string) {
    const answered = trialOf(this).calls.filter(({ error }) => error === undefined);
    assert.equal(answered.length, Number(count), describeCalls(trialOf(this)));
  },
);

Then(
  /^(\d+) upstream calls? failed with "(.+)" and (may have been|was not) dispatched$/,
  function (this: ScenarioWorld, count: string, kind: string, dispatched: string) {
    const failed = trialOf(this).calls.flatMap(({ error }) => (error === undefined ? [] : [error]));
    assert.deepEqual(
      failed.map((error) => [error.kind, error.undispatched]),
      Array.from({ length: Number(count) }, () => [kind, dispatched === "was not"]),
      describeCalls(trialOf(this)),
    );
  },
);

Then("the slowest took less than {int} ms", function (this: ScenarioWorld, ms: number) {
  const slowest = Math.max(...trialOf(this).calls.map(({ durationMs }) => durationMs));
  assert.ok(slowest < ms, `the slowest call took ${slowest} ms`);
});

Then(
  "the upstream closed {int} connection without an answer",
  function (this: ScenarioWorld, count: number) {
    assert.equal(trialOf(this).upstream.hangUpCount, count);
  },
);

Then(
  "{int} answer was dropped as {string}",
  function (this: ScenarioWorld, count: number, reason: DropReason) {
    assert.equal(trialOf(this).dropped.count(reason), count);
  },
);

Then(
  "the upstream reports a load of {int} within {int} ms",
  async function (this: ScenarioWorld, load: number, ms: number) {
    const signal = AbortSignal.timeout(ms);
    while ((await trialOf(this).client.load(signal)) !== load) await delay(POLL_INTERVAL_MS);
  },
);

function describeCalls(trial: UpstreamTrial): string {
  return trial.calls.map(({ error }) => error?.stack ?? "answered").join("\n");
}
