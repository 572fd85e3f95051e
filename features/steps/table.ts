import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ScenarioWorld } from "../support/world.js";

Given(
  /^the next(?: (\d+))? transactions? takes? effect after (\d+) ms$/,
  function (this: ScenarioWorld, count: string | null, ms: string) {
    const faults = { effectDelayMs: Number(ms) };
    this.scene.table.script(...Array.from({ length: Number(count ?? 1) }, () => faults));
  },
);
Given(
  /^the answers? of the next(?: (\d+))? transactions? (?:is|are) lost$/,
  function (this: ScenarioWorld, count: string | null) {
    const faults = { loseAnswers: 1 };
    this.scene.table.script(...Array.from({ length: Number(count ?? 1) }, () => faults));
  },
);
Given(
  "the next transaction takes effect at once and is answered after {int} ms",
  function (this: ScenarioWorld, delayMs: number) {
    this.scene.table.script({ delayMs });
  },
);
Given(/^the table is (down|up)$/, function (this: ScenarioWorld, state: string) {
  const { table } = this.scene;
  table.faults = { ...table.faults, down: state === "down" };
});
Given(
  "the table refuses {int} transactions after the next",
  function (this: ScenarioWorld, count: number) {
    this.scene.table.script(...Array.from({ length: count }, () => ({ down: true })));
  },
);
When("{int} ms pass", async function (this: ScenarioWorld, ms: number) {
  await this.scene.timers.advance(ms);
});
Then("{int} transactions were sent", function (this: ScenarioWorld, count: number) {
  assert.equal(this.scene.table.transactions, count);
});
