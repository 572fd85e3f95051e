import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import {
  type FloodFigures,
  FloodPolicy,
  SECOND_PER_S,
  replayFlood,
} from "../support/flood-replay.js";

const BURST_S = 6;

interface FloodWorld {
  before: FloodFigures;
  after: FloodFigures;
}

When("the flood is replayed without admission", async function (this: FloodWorld) {
  this.before = await replayFlood(FloodPolicy.None, true);
});

When("the flood is replayed with admission by the queues alone", async function (this: FloodWorld) {
  this.before = await replayFlood(FloodPolicy.Queues, true);
});

When("the flood is replayed with admission", async function (this: FloodWorld) {
  this.after = await replayFlood(FloodPolicy.Backlog, true);
});

When("the usual rate is replayed with admission", async function (this: FloodWorld) {
  this.after = await replayFlood(FloodPolicy.Backlog, false);
});

Then(
  "admission serves at least {float} times as many requests within their target",
  function (this: FloodWorld, factor: number) {
    const { before, after } = this;
    const seen = JSON.stringify({ before, after });
    assert.ok(after.inTarget >= factor * before.inTarget, seen);
  },
);

Then(
  "at most {int} in 100 of the admitted requests miss it",
  function (this: FloodWorld, most: number) {
    const { missed, inTarget } = this.after;
    assert.ok(missed <= (most / 100) * (missed + inTarget), JSON.stringify(this.after));
  },
);

Then(
  "during the burst at least {int} in 100 of what the second stage can make is served in time",
  function (this: FloodWorld, least: number) {
    const possible = BURST_S * SECOND_PER_S;
    assert.ok(this.after.inBurst >= (least / 100) * possible, JSON.stringify(this.after));
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
