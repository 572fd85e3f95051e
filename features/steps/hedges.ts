import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { DropReason } from "../../src/upstream/drop-reason.js";
import { SlowUpstreams } from "../support/slow-upstreams.js";
import type { ScenarioWorld } from "../support/world.js";

const WARM_UP_RUNS = 100;
const trials = new WeakMap<ScenarioWorld, SlowUpstreams>();

function slow(world: ScenarioWorld): SlowUpstreams {
  const found = trials.get(world);
  if (found === undefined) throw new Error("the scenario has no stage");
  return found;
}

Given(
  "a stage whose attempts usually take {int} ms",
  async function (this: ScenarioWorld, usualMs: number) {
    const upstreams = SlowUpstreams.create(usualMs);
    for (const pipeline of ["search", "advice", "booking"]) {
      for (let at = 0; at < WARM_UP_RUNS; at += 1) await upstreams.run(pipeline);
    }
    trials.set(this, upstreams);
  },
);

When(
  /^"(.+)" runs while "(.+)" takes (\d+) ms( and ignores cancels| after its first token)?$/,
  async function (
    this: ScenarioWorld,
    pipeline: string,
    upstream: string,
    ms: string,
    how: string | null,
  ) {
    const upstreams = slow(this);
    upstreams.slow = { upstream, ms: Number(ms), afterFirst: how?.endsWith("token") === true };
    upstreams.ignoresCancellation = how?.endsWith("cancels") === true;
    await upstreams.run(pipeline);
  },
);

When("{string} leaves", function (this: ScenarioWorld, upstream: string) {
  slow(this).trial.leave(upstream);
});

When("the content of the requests is suspect", async function (this: ScenarioWorld) {
  const { trial } = slow(this);
  trial.suspects
    .track(trial.content, "retriever", "retriever-4", false)
    .end(ServeError.create(ErrorKind.UpstreamCrashed, "the process ended"));
  await trial.timers.advance(1);
});

When(
  "{string} runs {int} times while every upstream takes {int} ms",
  async function (this: ScenarioWorld, pipeline: string, times: number, ms: number) {
    const upstreams = slow(this);
    upstreams.usualMs = ms;
    upstreams.ran = [];
    for (let at = 0; at < times; at += 1) await upstreams.run(pipeline);
  },
);

Then(
  "it was answered after {int} ms from attempts on {string}",
  function (this: ScenarioWorld, ms: number, attempts: string) {
    const last = slow(this).ran.at(-1);
    assert.equal(last?.attempts.join(", "), attempts);
    // The quantile is a histogram's, so it is near the usual time and not equal to it.
    assert.ok(Math.abs(last.ms - ms) <= 2, `${last.ms} ms`);
  },
);

Then(/^(\d+) late answers? (?:was|were) dropped$/, function (this: ScenarioWorld, count: string) {
  assert.equal(slow(this).trial.dropped.count(DropReason.Late), Number(count));
});

Then(
  "fewer than {float} of the attempts were hedged",
  function (this: ScenarioWorld, share: number) {
    const { ran } = slow(this);
    const hedges = ran.reduce((sum, { attempts }) => sum + attempts.length - 1, 0);
    assert.ok(hedges > 0 && hedges / ran.length < share, `${hedges} hedges`);
  },
);
