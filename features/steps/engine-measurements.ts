import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { PromptPart } from "../../src/forward/prompt-part.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { type EngineFleetParts, engineFleetParts } from "../support/engine-fleet-parts.js";
import { entryOf } from "../support/forward-samples.js";

const SERVICE = "engine";
const PREFIX = "system";

interface MeasuredWorld {
  timers: ManualTimers;
  directory: UpstreamDirectory;
  health: UpstreamHealthRegistry;
  parts: EngineFleetParts;
  requests: number;
  home: string;
  chosen: string[];
}

function promptOf(world: MeasuredWorld): PromptPart[] {
  world.requests += 1;
  return [
    { id: PREFIX, tokens: 1_000 },
    { id: `own-${world.requests}`, tokens: 100 },
  ];
}

function place(world: MeasuredWorld, promptParts = promptOf(world)): string {
  const chosen = world.parts.enginePlacement.place({
    ...{ service: SERVICE, prefix: PREFIX, promptParts, tried: new Set<string>() },
    candidates: world.directory.forService(SERVICE),
  });
  assert.ok(chosen !== undefined);
  return chosen.option.entry.id;
}

function countsOf(chosen: readonly string[]): number[] {
  return [...new Set(chosen)].map((id) => chosen.filter((other) => other === id).length);
}

Given(
  "one instance and {int} engines of {int} slots",
  function (this: MeasuredWorld, engines: number, slots: number) {
    this.timers = ManualTimers.create();
    this.directory = UpstreamDirectory.create(this);
    this.health = UpstreamHealthRegistry.create(this);
    this.parts = engineFleetParts({ timers: this.timers, upstreamHealth: this.health });
    const ids = Array.from({ length: engines }, (_, at) => `e${at}`);
    this.directory.apply(
      ids.map((id) => [id, entryOf({ id, service: SERVICE, slots })]),
      0,
    );
    this.requests = 0;
    this.home = place(this);
    for (const id of ids) for (let at = 0; at < 4; at += 1) this.parts.engineSpeeds.record(id, 1);
  },
);

When(
  /^(\d+) requests of one prefix get (whole answers|no answer|broken answers) after 1 s, one after the other$/,
  async function (this: MeasuredWorld, count: string, answers: string) {
    this.chosen = [];
    for (let at = 0; at < Number(count); at += 1) {
      const promptParts = promptOf(this);
      const id = place(this, promptParts);
      this.chosen.push(id);
      const entry = this.directory.find(id);
      assert.ok(entry !== undefined);
      const streamed = answers === "no answer";
      const work = this.parts.enginePlacement.begin(entry, promptParts, { streamed });
      await this.timers.advance(1_000);
      if (answers === "whole answers") work?.answerHead();
      if (answers === "broken answers") work?.breakOff();
      work?.end();
    }
  },
);

When(
  "{int} requests of one prefix are sent at the same moment",
  function (this: MeasuredWorld, count: number) {
    this.chosen = [];
    for (let at = 0; at < count; at += 1) {
      const promptParts = promptOf(this);
      const id = place(this, promptParts);
      this.chosen.push(id);
      const entry = this.directory.find(id);
      assert.ok(entry !== undefined);
      this.parts.enginePlacement.begin(entry, promptParts, { streamed: true });
      this.health.of(id).inFlight += 1;
    }
  },
);

Then("no engine got more than {int} of them", function (this: MeasuredWorld, most: number) {
  const counts = countsOf(this.chosen);
  assert.ok(Math.max(...counts) <= most, counts.join(" "));
});

When(
  /^the home is (measured|told) to be 3 times slower$/,
  function (this: MeasuredWorld, source: string) {
    const { engineSpeeds } = this.parts;
    if (source === "told") engineSpeeds.recordSlow("other", [[this.home, 3]]);
    else for (let at = 0; at < 6; at += 1) engineSpeeds.record(this.home, 3);
  },
);

When(
  "{int} s later {int} requests of one prefix are placed",
  async function (this: MeasuredWorld, seconds: number, count: number) {
    await this.timers.advance(seconds * 1_000);
    this.chosen = Array.from({ length: count }, () => place(this));
  },
);

When("the home is measured once at the usual speed", function (this: MeasuredWorld) {
  this.parts.engineSpeeds.record(this.home, 1);
});

When("the others no longer tell that it is slow", function (this: MeasuredWorld) {
  this.parts.engineSpeeds.recordSlow("other", []);
});

Then(/^(one|all) of them went to the home$/, function (this: MeasuredWorld, share: string) {
  const count = this.chosen.filter((id) => id === this.home).length;
  assert.equal(count, share === "all" ? this.chosen.length : 1);
});

Then("an instance still tells that it is slow", function (this: MeasuredWorld) {
  assert.deepEqual(
    this.parts.engineSpeeds.slowEngines().map(([id]) => id),
    [this.home],
  );
});

When("the home fails", function (this: MeasuredWorld) {
  const health = this.health.of(this.home);
  for (let at = 0; at < 20 && !health.failing; at += 1) health.recordFailure();
  assert.ok(health.failing);
});

Then(
  "the first request that is placed goes to the home each time, the next one elsewhere",
  async function (this: MeasuredWorld) {
    await this.timers.advance(5_000);
    const first = promptOf(this);
    assert.deepEqual([place(this, first), place(this, first)], [this.home, this.home]);
    assert.notEqual(place(this), this.home);
  },
);
