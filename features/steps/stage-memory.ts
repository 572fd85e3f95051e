import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import type { StageBench } from "../support/stage-bench.js";

interface PoolWorld {
  stages: StageBench;
}

Given("results are released {int} ms after they are made", function (this: PoolWorld, ms: number) {
  this.stages.releaseAfterMs = ms;
});

Then(
  "at least {int} pieces were made, at least {int} a call on average",
  function (this: PoolWorld, least: number, average: number) {
    const { calls } = this.stages;
    const pieces = calls.reduce((sum, call) => sum + call.pieces.length, 0);
    const seen = `${pieces} pieces in ${calls.length} calls`;
    assert.ok(pieces >= least && pieces >= average * calls.length, seen);
  },
);
