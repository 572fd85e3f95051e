import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Lease } from "../../src/order/lease.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { MemoryTable } from "../../standin/memory-table.js";
import type { ScenarioWorld } from "../support/world.js";

const DURATION_MS = 10_000;
const STEP_MS = 1_000;

let timers: ManualTimers;
let leases: Record<string, Lease>;

Given("a and b are candidates for a lease of 10 s", function (this: ScenarioWorld) {
  timers = ManualTimers.create();
  const table = MemoryTable.create(timers);
  this.scene = { timers, table };
  const lease = (id: string) =>
    Lease.create({ table, timers, incarnation: 1 }, "g", id, DURATION_MS);
  leases = { a: lease("a"), b: lease("b") };
});

When(/^(.+) (?:try|tries) for (\d+) s$/, async (ids: string, seconds: string) => {
  for (let second = 0; second < Number(seconds); second += 1) {
    for (const id of ids.split(" and ")) {
      void leases[id]?.step();
      await timers.advance(0);
    }
    await timers.advance(STEP_MS);
  }
});
When("{word} tries while a pause drops its lease", async (id: string) => {
  await timers.advance(0);
  const lease = leases[id];
  void lease?.step();
  await timers.advance(100);
  lease?.drop();
  await timers.advance(STEP_MS);
});

Then("{word} holds the lease with number {int}", (id: string, fencing: number) => {
  assert.equal(leases[id]?.fencing(), fencing);
  const held = Object.values(leases).filter(({ remainingMs }) => remainingMs > 0);
  assert.equal(held.length, 1);
});
Then("nobody holds the lease", () => {
  for (const { remainingMs } of Object.values(leases)) assert.equal(remainingMs, 0);
});
Then("{word} cannot send an order", (id: string) => {
  assert.throws(() => leases[id]?.fencing(), { kind: "lease-lost" });
});
