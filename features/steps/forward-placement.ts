import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { selectPlainUpstream } from "../../src/forward/plain-selection.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { type EngineFleetParts, engineFleetParts } from "../support/engine-fleet-parts.js";
import { entryOf } from "../support/forward-samples.js";

interface PlacementWorld {
  timers: ManualTimers;
  directory: UpstreamDirectory;
  upstreamHealth: UpstreamHealthRegistry;
  engines: EngineFleetParts;
  selectedIds: string[];
  firstEngineId: string;
}

function createDirectory(world: PlacementWorld, ids: readonly string[], service: string): void {
  world.timers = ManualTimers.create();
  world.directory = UpstreamDirectory.create({ timers: world.timers });
  world.upstreamHealth = UpstreamHealthRegistry.create(world);
  world.engines = engineFleetParts(world);
  world.directory.apply(
    ids.map((id) => [id, entryOf({ id, service })]),
    0,
  );
}

let requests = 0;

function selectEngineId(world: PlacementWorld, prefix: string): string {
  requests += 1;
  const chosen = world.engines.enginePlacement.place({
    ...{ service: "engine", prefix, tried: new Set() },
    candidates: world.directory.forService("engine"),
    promptParts: [
      { id: prefix, tokens: 1_000 },
      { id: `${requests}`, tokens: 100 },
    ],
  });
  assert.ok(chosen !== undefined);
  return chosen.option.entry.id;
}

Given("{int} engines", function (this: PlacementWorld, count: number) {
  const ids = Array.from({ length: count }, (_, at) => `e${at}`);
  createDirectory(this, ids, "engine");
});

When(
  "{int} requests with prefix {string} are routed",
  function (this: PlacementWorld, count: number, prefix: string) {
    this.selectedIds = Array.from({ length: count }, () => selectEngineId(this, prefix));
  },
);

Then("all went to one engine", function (this: PlacementWorld) {
  this.firstEngineId = this.selectedIds[0] ?? "";
  assert.deepEqual(new Set(this.selectedIds), new Set([this.firstEngineId]));
});

When("that engine restarts with the same ID", function (this: PlacementWorld) {
  const entry = this.directory.find(this.firstEngineId);
  assert.ok(entry !== undefined);
  this.directory.apply([[entry.id, { ...entry, startedMs: entry.startedMs + 1 }]], 0);
});

When("that engine becomes unreachable", function (this: PlacementWorld) {
  this.upstreamHealth.of(this.firstEngineId).recordUnreachable();
});

Then("all went to another engine", function (this: PlacementWorld) {
  assert.equal(new Set(this.selectedIds).size, 1);
  assert.notEqual(this.selectedIds[0], this.firstEngineId);
});

When("the first engine becomes reachable again", function (this: PlacementWorld) {
  this.upstreamHealth.of(this.firstEngineId).recordSuccess(1);
});

Then("all went to the first engine", function (this: PlacementWorld) {
  assert.deepEqual(new Set(this.selectedIds), new Set([this.firstEngineId]));
});

Given("all engines respond at the same speed", function (this: PlacementWorld) {
  for (const id of this.directory.ids) {
    for (let at = 0; at < 4; at += 1) this.engines.engineSpeeds.record(id, 1);
  }
});

When(
  "the home of prefix {string} becomes {int} times slower",
  function (this: PlacementWorld, prefix: string, factor: number) {
    this.firstEngineId = selectEngineId(this, prefix);
    for (let at = 0; at < 6; at += 1) this.engines.engineSpeeds.record(this.firstEngineId, factor);
  },
);

Then("at most {int} of them went to the slow engine", function (this: PlacementWorld, max: number) {
  assert.ok(this.selectedIds.filter((id) => id === this.firstEngineId).length <= max);
});

Given(
  "3 plain upstreams of which one in this data centre fails half of its requests",
  function (this: PlacementWorld) {
    createDirectory(this, ["p1", "p2", "p3"], "plain");
  },
);

When(
  "{int} requests are routed over {int} ms",
  async function (this: PlacementWorld, count: number, ms: number) {
    this.selectedIds = [];
    let failed = false;
    for (let at = 0; at < count; at += 1) {
      const entry = selectPlainUpstream({
        candidates: this.directory.forService("plain"),
        healthOf: (id) => this.upstreamHealth.of(id),
        dataCentre: "a",
        tried: new Set(),
      });
      assert.ok(entry !== undefined);
      this.selectedIds.push(entry.id);
      if (entry.id === "p1") failed = !failed;
      if (entry.id === "p1" && failed) this.upstreamHealth.of("p1").recordFailure();
      else this.upstreamHealth.of(entry.id).recordSuccess(1);
      await this.timers.advance(ms / count);
    }
  },
);

Then("fewer than {int} went to the failing upstream", function (this: PlacementWorld, n: number) {
  assert.ok(this.selectedIds.filter((id) => id === "p1").length < n);
});
