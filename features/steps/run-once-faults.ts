import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { FleetBookings } from "../support/fleet-bookings.js";
import type { ScenarioWorld } from "../support/world.js";

const DEADLINE_MS = 5_000;
/** Bound on an answer that is said to be given at once. */
const AT_ONCE_MS = 300;

const ofFleets = new WeakMap<object, FleetBookings>();

function bookingsOf({ fleet }: ScenarioWorld): FleetBookings {
  const known = ofFleets.get(fleet) ?? FleetBookings.create(fleet);
  ofFleets.set(fleet, known);
  return known;
}

When(
  /^booking "(.+)" is (re)?sent to daemon (\d+)(?: with deadline (\d+) ms)?$/,
  function (
    this: ScenarioWorld,
    key: string,
    again: string | null,
    daemon: string,
    deadlineMs: string | null,
  ) {
    const request = { key, deadlineMs: Number(deadlineMs ?? DEADLINE_MS), resend: again !== null };
    bookingsOf(this).send(request, Number(daemon));
  },
);
When("the callers have their answers", async function (this: ScenarioWorld) {
  await bookingsOf(this).answers();
});

Then("the bookings are answered {string}", async function (this: ScenarioWorld, expected: string) {
  const told = await bookingsOf(this).answers();
  assert.equal(told.map(({ text }) => text).join("; "), expected);
});
Then("the last booking was answered at once", async function (this: ScenarioWorld) {
  const { tookMs } = (await bookingsOf(this).answers()).at(-1) ?? { tookMs: Infinity };
  assert.ok(tookMs < AT_ONCE_MS, `${tookMs} ms`);
});
Then(
  /^"(.+)" ran (\d+) times?, and nothing that was told not-run ran$/,
  async function (this: ScenarioWorld, key: string, count: string) {
    const bookings = bookingsOf(this);
    assert.equal(await bookings.executions(key), Number(count));
    await bookings.check();
  },
);
