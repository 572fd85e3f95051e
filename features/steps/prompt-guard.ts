import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { PromptGuard } from "../../src/crash/prompt-guard.js";
import { StoredConvictions } from "../../src/crash/stored-convictions.js";
import { Outcome } from "../../src/error/outcome.js";
import type { ServeError } from "../../src/error/serve-error.js";
import type { DecisionLines } from "../../src/forward/decision-lines.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { GuardFleet } from "../support/guard-fleet.js";
import { GuardGroup } from "../support/guard-group.js";
import { pausedRetryError } from "../support/paused-retry.js";
import { MemoryRows } from "../support/memory-rows.js";

const SERVICE = "engines";
const SEED = 5;
const MS_PER_SECOND = 1_000;

interface GuardWorld {
  guardFleet: GuardFleet;
  group: GuardGroup;
  load: { instances: number; parts: number };
  convicted: number;
  crashes: number;
  failure: ServeError;
}

function refuses(guard: PromptGuard, parts: readonly string[]): boolean {
  return guard.isConvicted(SERVICE, parts);
}

Given(
  "{int} instances before engines, with {int} parts in each prompt",
  function (this: GuardWorld, instances: number, parts: number) {
    this.load = { instances, parts };
  },
);

When(
  "a share of {float} of the requests has one of {int} parts that crash engines, for {int} s",
  { timeout: 60_000 },
  async function (this: GuardWorld, share: number, deadly: number, seconds: number) {
    this.guardFleet = GuardFleet.create({ ...this.load, share, deadly, seconds, seed: SEED });
    await this.guardFleet.run();
  },
);

Then(
  "at most {int} engines are lost to each of these parts",
  function (this: GuardWorld, most: number) {
    assert.ok(this.guardFleet.crashTimes.length > 0);
    for (const [part, lost] of this.guardFleet.lost)
      assert.ok(lost <= most, `${lost} lost to ${part}`);
  },
);

Then("no request without them was refused", function (this: GuardWorld) {
  assert.ok(this.guardFleet.soundRequests > 0);
  assert.equal(this.guardFleet.soundRefused, 0);
});

When(
  "engines of {int} instances end singly and together, in {int} runs of {int} s",
  { timeout: 120_000 },
  async function (this: GuardWorld, instances: number, runs: number, seconds: number) {
    this.convicted = 0;
    for (let seed = 0; seed < runs; seed += 1) {
      const fleet = GuardFleet.create({ instances, share: 0, parts: 3, deadly: 1, seconds, seed });
      fleet.scheduleCrashes();
      await fleet.run();
      assert.ok(fleet.crashTimes.length > 0);
      this.convicted += fleet.convictions;
    }
  },
);

Then("no part was convicted in any run", function (this: GuardWorld) {
  assert.equal(this.convicted, 0);
});

Given("{int} instances that share evidence", function (this: GuardWorld, count: number) {
  this.group = GuardGroup.create(count);
  this.crashes = 0;
});

When(
  "engines crash {int} times under {string} and {string}",
  async function (this: GuardWorld, count: number, a: string, b: string) {
    for (let at = 0; at < count; at += 1) {
      this.crashes += 1;
      const guard = this.group.guards[at % this.group.guards.length];
      guard?.recordCrash(SERVICE, `e${this.crashes} 1`, [...new Set([a, b])]);
      await this.group.timers.advance(MS_PER_SECOND);
    }
  },
);

Then(
  /^all instances refuse requests with "([a-z]+)"(?: and "([a-z]+)")?$/,
  function (this: GuardWorld, a: string, b: string | null) {
    for (const guard of this.group.guards)
      assert.ok(refuses(guard, ["first", a, ...(b === null ? [] : [b])]));
  },
);

Then(
  "all instances accept requests with {string} or {string} alone",
  function (this: GuardWorld, a: string, b: string) {
    for (const guard of this.group.guards)
      for (const part of [a, b]) assert.ok(!refuses(guard, ["first", part]), part);
  },
);

Then(
  "in {int} s, one request with {string} runs",
  async function (this: GuardWorld, seconds: number, part: string) {
    assert.equal(await this.group.runTrials(seconds, SERVICE, part, () => undefined), 1);
  },
);

Then(
  "in {int} s, at most {int} requests with {string} run, each of which crashes an engine",
  async function (this: GuardWorld, seconds: number, most: number, part: string) {
    const crash = (guard: PromptGuard): void => {
      this.crashes += 1;
      guard.recordCrash(SERVICE, `e${this.crashes} 1`, [part]);
    };
    const ran = await this.group.runTrials(seconds, SERVICE, part, crash);
    assert.ok(ran > 0 && ran <= most, `${ran} requests`);
  },
);

When("an engine responds to {string}", async function (this: GuardWorld, part: string) {
  this.group.guards[0]?.recordAnswer(SERVICE, [part]);
  await this.group.timers.advance(MS_PER_SECOND);
});

function storedConvictions(
  timers: ManualTimers,
  rows: MemoryRows,
  guard: PromptGuard,
): StoredConvictions {
  return StoredConvictions.create({
    timers,
    random: RandomSource.create(SEED),
    rowFeed: rows,
    promptGuard: guard,
    decisionLines: { write: () => undefined } as unknown as DecisionLines,
  });
}

When(
  "the first instance writes its convictions to the store, and all instances end",
  async function (this: GuardWorld) {
    const rows = MemoryRows.create();
    const [guard] = this.group.guards;
    assert(guard !== undefined);
    const writer = storedConvictions(this.group.timers, rows, guard);
    writer.start();
    await this.group.timers.advance(MS_PER_SECOND);
    writer.stop();
    this.group = GuardGroup.create(1);
    this.group.rows = rows;
  },
);

When("an instance starts and reads the store", async function (this: GuardWorld) {
  const { rows, timers, guards } = this.group;
  const [guard] = guards;
  assert(rows !== undefined && guard !== undefined);
  const reader = storedConvictions(timers, rows, guard);
  reader.start();
  await timers.advance(MS_PER_SECOND);
  reader.stop();
});

When(
  "the deadline of a request passes while its second attempt waits because of a suspect part",
  async function (this: GuardWorld) {
    this.failure = await pausedRetryError();
  },
);

Then("the request may have run", function (this: GuardWorld) {
  assert.equal(this.failure.outcome, Outcome.MayHaveRun);
});
