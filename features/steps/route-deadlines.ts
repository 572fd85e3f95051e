import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { RouteDeadlines } from "../../src/forward/route-deadlines.js";
import { routeOf } from "../support/forward-samples.js";

interface DeadlineWorld {
  deadlines: RouteDeadlines;
  elapsedMs: number[];
}

When(
  "first attempts arrive with deadlines of {int}, {int}, {int} and {int} ms",
  function (this: DeadlineWorld, a: number, b: number, c: number, d: number) {
    this.deadlines = RouteDeadlines.create();
    this.elapsedMs = [a, b, c, d].map((ms) => this.deadlines.elapsedMs(routeOf({}), ms));
  },
);

Then("none of them counts as a retry", function (this: DeadlineWorld) {
  assert.ok(this.elapsedMs.every((ms) => ms === 0));
});

Then(
  "an attempt with a deadline of {int} ms counts as a retry {int} ms after the first",
  function (this: DeadlineWorld, deadline: number, ago: number) {
    assert.equal(this.deadlines.elapsedMs(routeOf({}), deadline), ago);
  },
);
