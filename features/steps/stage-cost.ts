import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { StageBench } from "../support/stage-bench.js";

interface CostWorld {
  stages: StageBench;
  waiting: number;
}

Given(
  "{int} requests of 1 piece queued behind busy upstreams",
  async function (this: CostWorld, count: number) {
    const upstreams = 2;
    for (let index = 0; index < upstreams; index += 1) this.stages.submit({ pieces: 4 });
    await this.stages.timers.advance(1);
    assert.equal(this.stages.calls.length, upstreams);
    for (let index = 0; index < count; index += 1) this.stages.submit({ leftMs: 600_000 });
    this.waiting = count;
  },
);

When("one more request arrives", function (this: CostWorld) {
  this.stages.rankReads = 0;
  assert.equal(this.stages.submit({ leftMs: 600_000 }).kind, "accepted");
});

Then("the rank of each waiting piece was read at most twice", function (this: CostWorld) {
  const { rankReads } = this.stages;
  assert.ok(rankReads <= 2 * (this.waiting + 1), `${rankReads} reads for ${this.waiting} pieces`);
});
