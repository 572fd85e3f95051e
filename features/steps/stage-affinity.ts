import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { StageBench } from "../support/stage-bench.js";

const BULKY_BYTES = 1_500_000;

interface PoolWorld {
  stages: StageBench;
}

When(
  "{int} requests with bulky results for data centre {string} arrive",
  function (this: PoolWorld, count: number, dataCentre: string) {
    const bytes = { resultBytes: BULKY_BYTES, movedBytes: BULKY_BYTES };
    for (let index = 0; index < count; index += 1)
      this.stages.submit({ dataCentre, pieces: 2, attemptId: `bulky${index}`, ...bytes });
  },
);

Then(
  "a full call was sent to data centre {string}",
  function (this: PoolWorld, dataCentre: string) {
    const calls = this.stages.calls.filter((call) => call.dataCentre === dataCentre);
    assert.deepEqual(
      calls.map(({ pieces }) => pieces.length),
      [4],
    );
  },
);
