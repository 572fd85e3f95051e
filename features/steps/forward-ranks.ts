import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import { rankOf } from "../../src/forward/rank-of.js";
import { routeOf } from "../support/forward-samples.js";

function rank(route: number, team?: number): number {
  const named = team === undefined ? undefined : { name: "t", rank: team };
  return rankOf(routeOf({ rank: route }), named);
}

Then(
  "a route of rank {int} goes before one of rank {int} for a team of rank {int}",
  function (a: number, b: number, team: number) {
    assert.ok(rank(a, team) < rank(b, team));
  },
);

Then(
  "a route of rank {int} of a team of rank {int} goes before one of rank {int} of a team of rank {int}",
  function (a: number, teamA: number, b: number, teamB: number) {
    assert.ok(rank(a, teamA) < rank(b, teamB));
  },
);

Then(
  "without a team rank a route of rank {int} goes before one of rank {int}",
  function (a: number, b: number) {
    assert.ok(rank(a) < rank(b));
  },
);
