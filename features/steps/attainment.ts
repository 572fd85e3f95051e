import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import { AttainmentWindow } from "../../src/metrics/attainment-window.js";
import { ManualTimers } from "../../src/time/manual-timers.js";

interface World {
  timers: ManualTimers;
  window: AttainmentWindow;
}

Then(
  "{int} attained, {int} late and {int} refused requests give {int} of {int} with a mean of {int} ms",
  function (
    this: World,
    attained: number,
    late: number,
    refused: number,
    served: number,
    requests: number,
    meanMs: number,
  ) {
    this.timers = ManualTimers.create();
    this.window = AttainmentWindow.create(this.timers);
    const add = (count: number, whole: boolean, ms: number): void => {
      for (let at = 0; at < count; at += 1) this.window.add("fitting", whole, ms);
    };
    add(attained, true, meanMs);
    add(late, false, 5_000);
    add(refused, false, 0);
    const expected = { className: "fitting", requests, attained: served, meanMs };
    assert.deepEqual(this.window.classes(), [expected]);
  },
);

Then("after {int} minutes the class is not listed", async function (this: World, minutes: number) {
  await this.timers.advance(minutes * 60_000);
  assert.deepEqual(this.window.classes(), []);
});
