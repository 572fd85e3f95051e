import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { selectEngine } from "../../src/forward/engine-selection.js";
import { hashFraction } from "../../src/forward/hash-fraction.js";
import { selectPlainUpstream } from "../../src/forward/plain-selection.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { entryOf } from "../support/forward-samples.js";

interface PlacementWorld {
  timers: ManualTimers;
  directory: UpstreamDirectory;
  standings: UpstreamHealthRegistry;
  placed: string[];
  first: string;
}

function directoryOf(world: PlacementWorld, ids: readonly string[], service: string): void {
  world.timers = ManualTimers.create();
  world.directory = UpstreamDirectory.create({ timers: world.timers });
  world.standings = UpstreamHealthRegistry.create(world);
  world.directory.apply(
    ids.map((id) => [id, entryOf({ id, service })]),
    0,
  );
}

function placeEngine(world: PlacementWorld, prefix: string): string {
  const entry = selectEngine({
    candidates: world.directory.forService("engine"),
    healthOf: (id) => world.standings.of(id),
    weight: (id) => hashFraction(`${prefix} ${id}`),
    tried: new Set(),
  });
  assert.ok(entry !== undefined);
  return entry.id;
}

Given("{int} engines", function (this: PlacementWorld, count: number) {
  const ids = Array.from({ length: count }, (_, at) => `e${at}`);
  directoryOf(this, ids, "engine");
});

When(
  "{int} requests with prefix {string} are placed",
  function (this: PlacementWorld, count: number, prefix: string) {
    this.placed = Array.from({ length: count }, () => placeEngine(this, prefix));
  },
);

Then("all went to one engine", function (this: PlacementWorld) {
  this.first = this.placed[0] ?? "";
  assert.deepEqual(new Set(this.placed), new Set([this.first]));
});

When("that engine has started again under its id", function (this: PlacementWorld) {
  const entry = this.directory.find(this.first);
  assert.ok(entry !== undefined);
  this.directory.apply([[entry.id, { ...entry, startedMs: entry.startedMs + 1 }]], 0);
});

When("that engine cannot be reached", function (this: PlacementWorld) {
  this.standings.of(this.first).recordUnreachable();
});

Then("all went to another engine", function (this: PlacementWorld) {
  assert.equal(new Set(this.placed).size, 1);
  assert.notEqual(this.placed[0], this.first);
});

When("the first engine is reached again", function (this: PlacementWorld) {
  this.standings.of(this.first).recordSuccess(1);
});

Then("all went to the first engine", function (this: PlacementWorld) {
  assert.deepEqual(new Set(this.placed), new Set([this.first]));
});

Given("all engines answer at the same pace", function (this: PlacementWorld) {
  for (const id of this.directory.ids) {
    for (let at = 0; at < 4; at += 1) this.standings.of(id).recordSuccess(1);
  }
});

When(
  "the home of prefix {string} becomes {int} times slower",
  function (this: PlacementWorld, prefix: string, factor: number) {
    this.first = placeEngine(this, prefix);
    for (let at = 0; at < 6; at += 1) this.standings.of(this.first).recordSuccess(factor);
  },
);

Then(
  "at most {int} of them went to the slow engine",
  function (this: PlacementWorld, most: number) {
    assert.ok(this.placed.filter((id) => id === this.first).length <= most);
  },
);

Given(
  "3 plain upstreams of which one in this data centre fails half of its requests",
  function (this: PlacementWorld) {
    directoryOf(this, ["p1", "p2", "p3"], "plain");
  },
);

When(
  "{int} requests are placed over {int} ms",
  async function (this: PlacementWorld, count: number, ms: number) {
    this.placed = [];
    let failed = false;
    for (let at = 0; at < count; at += 1) {
      const entry = selectPlainUpstream({
        candidates: this.directory.forService("plain"),
        healthOf: (id) => this.standings.of(id),
        dataCentre: "a",
        tried: new Set(),
      });
      assert.ok(entry !== undefined);
      this.placed.push(entry.id);
      if (entry.id === "p1") failed = !failed;
      if (entry.id === "p1" && failed) this.standings.of("p1").recordFailure();
      else this.standings.of(entry.id).recordSuccess(1);
      await this.timers.advance(ms / count);
    }
  },
);

Then("fewer than {int} went to the failing upstream", function (this: PlacementWorld, n: number) {
  assert.ok(this.placed.filter((id) => id === "p1").length < n);
});
