import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { ColdWorld } from "./cold-upstreams.js";

/** Time in which all instances are told of a cold engine. */
const TOLD_MS = 150;

When("one instance reads that it is cold", async function (this: ColdWorld) {
  const { coldFleet: fleet } = this;
  const reader = fleet.instances.find(({ id }) => id !== fleet.owner);
  assert.ok(reader);
  await fleet.chillBefore(reader, fleet.home);
  await fleet.timers.advance(TOLD_MS);
});

Then(
  "no instance counted it as cold for longer than {int} ms",
  function (this: ColdWorld, most: number) {
    const { heldMs } = this.coldWatch;
    assert.ok(heldMs > 0 && heldMs <= most, `${heldMs} ms`);
  },
);

When("each instance fails once to connect to each engine", function (this: ColdWorld) {
  this.coldFleet.loseConnects();
});

When(
  "{int} instances are paused for {int} ms",
  async function (this: ColdWorld, count: number, ms: number) {
    const { coldFleet: fleet } = this;
    const paused = fleet.instances.slice(0, count);
    for (const instance of paused) instance.freeze();
    await fleet.timers.advance(ms);
    for (const instance of paused) instance.thaw(ms);
    fleet.readRows();
  },
);

When("its evacuation ends", function (this: ColdWorld) {
  const { coldFleet: fleet, place } = this;
  for (const { evacuationEnds } of fleet.instances) evacuationEnds.set(place, fleet.timers.now());
  fleet.readRows();
});

When("{int} ms pass in the fleet", async function (this: ColdWorld, ms: number) {
  await this.coldFleet.timers.advance(ms);
});
