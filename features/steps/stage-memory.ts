import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { StageBench } from "../support/stage-bench.js";

const BULKY_BYTES = 1_500_000;

interface PoolWorld {
  stages: StageBench;
}

Given("results are released {int} ms after they are made", function (this: PoolWorld, ms: number) {
  this.stages.releaseAfterMs = ms;
});

Then(
  "at least {int} pieces were made, at least {int} a call on average",
  function (this: PoolWorld, minPieces: number, minAverage: number) {
    const { calls } = this.stages;
    const pieces = calls.reduce((sum, call) => sum + call.pieces.length, 0);
    const details = `${pieces} pieces in ${calls.length} calls`;
    assert.ok(pieces >= minPieces && pieces >= minAverage * calls.length, details);
  },
);

When(
  "a request with bulky results for data centre {string} and {int} ms to its target arrives",
  function (this: PoolWorld, dataCentre: string, targetLeftMs: number) {
    const bytes = { resultBytes: BULKY_BYTES, movedBytes: BULKY_BYTES };
    this.stages.submit({ dataCentre, pieces: 2, attemptId: "bulky", targetLeftMs, ...bytes });
  },
);
