import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { DropReason } from "../../src/upstream/drop-reason.js";
import { SlowUpstreams } from "../support/slow-upstreams.js";
import type { ScenarioWorld } from "../support/world.js";

const WARM_UP_RUNS = 100;
const upstreamsByWorld = new WeakMap<ScenarioWorld, SlowUpstreams>();

function slowUpstreams(world: ScenarioWorld): SlowUpstreams {
  const found = upstreamsByWorld.get(world);
  if (found === undefined) throw new Error("the scenario has not set up a stage");
  return found;
}

Given(
  "a stage whose attempts usually take {int} ms",
  async function (this: ScenarioWorld, usualMs: number) {
    const upstreams = SlowUpstreams.create(usualMs);
    for (const pipeline of ["search", "advice", "booking"]) {
      for (let at = 0; at < WARM_UP_RUNS; at += 1) await upstreams.run(pipeline);
    }
    upstreamsByWorld.set(this, upstreams);
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
    const upstreams = slowUpstreams(this);
    upstreams.slow = { upstream, ms: Number(ms), afterFirst: how?.endsWith("token") === true };
    upstreams.ignoresCancellation = how?.endsWith("cancels") === true;
    await upstreams.run(pipeline);
  },
);

When("{string} leaves", function (this: ScenarioWorld, upstream: string) {
  slowUpstreams(this).harness.markLeaving(upstream);
});

When("the content of the requests is suspect", async function (this: ScenarioWorld) {
  const { harness } = slowUpstreams(this);
  harness.suspects
    .track(harness.requestContent, "retriever", "retriever-4", false)
    .end(ServeError.create(ErrorKind.UpstreamCrashed, "the process ended"));
  await harness.timers.advance(1);
});

When(
  "{string} runs {int} times while every upstream takes {int} ms",
  async function (this: ScenarioWorld, pipeline: string, times: number, ms: number) {
    const upstreams = slowUpstreams(this);
    upstreams.usualMs = ms;
    upstreams.runs = [];
    for (let at = 0; at < times; at += 1) await upstreams.run(pipeline);
  },
);

Then(
  "it is answered after {int} ms by attempts on {string}",
  function (this: ScenarioWorld, ms: number, attempts: string) {
    const last = slowUpstreams(this).runs.at(-1);
    assert.equal(last?.attempts.join(", "), attempts);
    // The hedge delay is a quantile from a histogram, so it only approximates the usual time.
    assert.ok(Math.abs(last.ms - ms) <= 2, `${last.ms} ms`);
  },
);

Then(/^(\d+) late answers? (?:was|were) dropped$/, function (this: ScenarioWorld, count: string) {
  assert.equal(slowUpstreams(this).harness.dropped.count(DropReason.Late), Number(count));
});

Then(
  "the fraction of hedged attempts is below {float}",
  function (this: ScenarioWorld, maxFraction: number) {
    const { runs } = slowUpstreams(this);
    const hedges = runs.reduce((sum, { attempts }) => sum + attempts.length - 1, 0);
    assert.ok(hedges > 0 && hedges / runs.length < maxFraction, `${hedges} hedges`);
  },
);
