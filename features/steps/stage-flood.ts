import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import {
  type FloodFigures,
  FloodPolicy,
  REPLAY_S,
  SECOND_STAGE_CAPACITY_PER_S,
  replayFlood,
} from "../support/flood-replay.js";

const BURST_S = 6;

interface FloodWorld {
  before: FloodFigures;
  after: FloodFigures;
}

When("the burst is replayed without admission", async function (this: FloodWorld) {
  this.before = await replayFlood(FloodPolicy.None, true);
});

When("the burst is replayed with admission by queue waits only", async function (this: FloodWorld) {
  this.before = await replayFlood(FloodPolicy.Queues, true);
});

When("the burst is replayed with admission", async function (this: FloodWorld) {
  this.after = await replayFlood(FloodPolicy.Backlog, true);
});

When("the base rate is replayed with admission", async function (this: FloodWorld) {
  this.after = await replayFlood(FloodPolicy.Backlog, false);
});

Then("admission serves more requests within their target", function (this: FloodWorld) {
  const { before, after } = this;
  assert.ok(after.inTarget > before.inTarget, JSON.stringify({ before, after }));
});

Then(
  /^(without admission )?at least (\d+) in 100 of what the second stage can make is served in time$/,
  function (this: FloodWorld, without: string | null, minPercent: string) {
    const figures = without === null ? this.after : this.before;
    const capacity = SECOND_STAGE_CAPACITY_PER_S * REPLAY_S;
    assert.ok(figures.inTarget >= (Number(minPercent) / 100) * capacity, JSON.stringify(figures));
  },
);

Then(
  "at most {int} in 100 of the admitted requests miss their target",
  function (this: FloodWorld, maxPercent: number) {
    const { missed, inTarget } = this.after;
    assert.ok(missed <= (maxPercent / 100) * (missed + inTarget), JSON.stringify(this.after));
  },
);

Then(
  "during the burst at least {int} in 100 of what the second stage can make is served in time",
  function (this: FloodWorld, minPercent: number) {
    const capacity = BURST_S * SECOND_STAGE_CAPACITY_PER_S;
    assert.ok(this.after.inBurst >= (minPercent / 100) * capacity, JSON.stringify(this.after));
  },
);

Then("fewer admitted requests miss their target", function (this: FloodWorld) {
  const { before, after } = this;
  assert.ok(after.missed < before.missed, JSON.stringify({ before, after }));
});

Then("no request is refused", function (this: FloodWorld) {
  assert.equal(this.after.refused, 0);
  assert.equal(this.after.missed, 0);
});
