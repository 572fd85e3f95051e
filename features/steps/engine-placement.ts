import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { CallRider } from "../../src/peer/call-rider.js";
import { loadDigestSchema } from "../../src/engine/load-digest.js";
import { PeerMethod } from "../../src/peer/peer-method.js";
import { PeerHost } from "../support/peer-host.js";
import { EngineFleet, type PlacedRequest } from "../support/engine-fleet.js";

const LATE_MS = 900;
const FIRST_PART = "part-0";

interface EngineWorld {
  engineFleet: EngineFleet;
  sinceMs: number;
  slowIds: string[];
  arrived: { caller: unknown[]; called: unknown[] };
  answer: unknown;
}

async function serve(
  world: EngineWorld,
  load: { perSecond: number; parts: number; hotShare: number },
  seconds: number,
): Promise<void> {
  world.sinceMs = world.engineFleet.timers.now();
  await world.engineFleet.serve(load, seconds * 1_000);
}

function enginesOf(requests: readonly PlacedRequest[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { engine } of requests) counts.set(engine, (counts.get(engine) ?? 0) + 1);
  return counts;
}

function slowDown(world: EngineWorld, slow: number, others: number): void {
  const engines = [...world.engineFleet.engines];
  for (const [at, [, engine]] of engines.entries()) engine.factor = at % 3 === 0 ? slow : others;
  world.slowIds = engines.filter((_, at) => at % 3 === 0).map(([id]) => id);
}

function shareAtSlow({ engineFleet, slowIds }: EngineWorld, seconds: number): number {
  const recent = engineFleet.placed.filter(
    ({ sentMs }) => sentMs >= engineFleet.timers.now() - seconds * 1_000,
  );
  return (100 * recent.filter(({ engine }) => slowIds.includes(engine)).length) / recent.length;
}

Given(
  "{int} instances that exchange figures of {int} engines every {int} ms",
  function (this: EngineWorld, instances: number, engines: number, exchangeMs: number) {
    this.engineFleet = EngineFleet.create({ instances, engines, exchangeMs });
  },
);

When(
  "{int} requests a second of {int} parts arrive for {int} s",
  async function (this: EngineWorld, perSecond: number, parts: number, seconds: number) {
    await serve(this, { perSecond, parts, hotShare: 0 }, seconds);
  },
);

When(
  "{int} requests a second arrive for {int} s, of which {float} have the first part",
  async function (this: EngineWorld, perSecond: number, seconds: number, hotShare: number) {
    await serve(this, { perSecond, parts: 300, hotShare }, seconds);
  },
);

When(
  "each instance sends a request with the first part at the same moment",
  async function (this: EngineWorld) {
    this.engineFleet.sendAtOnce();
    await this.engineFleet.timers.advance(10_000);
  },
);

When(
  "each instance sends a request with the first part {int} ms after the other",
  async function (this: EngineWorld, ms: number) {
    this.sinceMs = this.engineFleet.timers.now();
    await this.engineFleet.sendInTurn(ms);
  },
);

Then("these requests went to one engine", function (this: EngineWorld) {
  const turn = this.engineFleet.placed.filter(
    ({ part, sentMs }) => part === FIRST_PART && sentMs >= this.sinceMs,
  );
  assert.ok(turn.length > 0);
  assert.equal(enginesOf(turn).size, 1);
});

Then("all requests of each part went to one engine", function (this: EngineWorld) {
  const homes = new Map<string, string>();
  for (const { part, engine } of this.engineFleet.placed) {
    assert.equal(engine, homes.get(part) ?? engine);
    homes.set(part, engine);
  }
});

Then(
  "no engine had more than {int} requests at a time",
  function (this: EngineWorld, most: number) {
    const fullest = Math.max(
      ...[...this.engineFleet.engines.values()].map(({ mostInProgress }) => mostInProgress),
    );
    assert.ok(fullest <= most, `${fullest} requests`);
  },
);

Then(
  "at most {int} in 100 of them had their first event after 900 ms",
  async function (this: EngineWorld, most: number) {
    await this.engineFleet.timers.advance(LATE_MS);
    const all = this.engineFleet.placed.filter(({ sentMs }) => sentMs >= this.sinceMs);
    const late = all.filter(({ firstMs }) => firstMs > LATE_MS).length;
    assert.ok(late * 100 <= most * all.length, `${late} of ${all.length}`);
  },
);

Then(
  "the first part had {int} to {int} homes, each with a tenth of its requests at least",
  function (this: EngineWorld, least: number, most: number) {
    const hot = this.engineFleet.placed.filter(({ part }) => part === FIRST_PART);
    const homes = [...enginesOf(hot).values()].filter((count) => count >= hot.length / 10);
    assert.ok(homes.length >= least && homes.length <= most, `${homes.length} homes`);
  },
);

When(
  "every third engine takes {float} times as long",
  function (this: EngineWorld, factor: number) {
    slowDown(this, factor, 1);
  },
);

When(
  "every third engine takes {float} times as long and the others {float} times",
  function (this: EngineWorld, slow: number, others: number) {
    slowDown(this, slow, others);
  },
);

Then(
  "at most {int} in 100 of the requests of the last {int} s went to these engines",
  function (this: EngineWorld, most: number, seconds: number) {
    const share = shareAtSlow(this, seconds);
    assert.ok(share <= most, `${share} in 100`);
  },
);

Then(
  "at least {int} in 100 of the requests of the last {int} s went to these engines",
  function (this: EngineWorld, least: number, seconds: number) {
    const share = shareAtSlow(this, seconds);
    assert.ok(share >= least, `${share} in 100`);
  },
);

When(
  /^an instance that carries figures calls one that carries (figures|nothing)$/,
  async function (this: EngineWorld, figures: string) {
    this.arrived = { caller: [], called: [] };
    const riderOf = (side: unknown[]): CallRider => ({
      outgoing: (instance) => ({ to: instance }),
      receive: (_, carried) => side.push(carried),
    });
    const host = await PeerHost.create(
      figures === "figures" ? riderOf(this.arrived.called) : undefined,
    );
    const clients = host.clientsAs("i2", undefined, undefined, riderOf(this.arrived.caller));
    const called = host.settings.instance.id;
    this.answer = await clients.call(called, PeerMethod.Probe, { target: "x" }, 2_000);
    await host.close();
  },
);

Then(
  "the call is answered, and {int} figures have arrived on each side",
  function (this: EngineWorld, count: number) {
    assert.deepEqual(this.answer, [{ target: "x" }, "i2"]);
    const called = [{ to: "tunis-a-1" }].slice(0, count);
    assert.deepEqual(this.arrived, { caller: [{ to: "i2" }].slice(0, count), called });
  },
);

Then("a digest that is not one is ignored", function (this: EngineWorld) {
  const fleet = EngineFleet.create({ instances: 2, engines: 2, exchangeMs: 200 });
  for (const carried of [1, null, { engines: "many" }, { engines: [["e", -1, 0]] }])
    assert.doesNotThrow(() => {
      fleet.receive(carried);
    });
});

Then(
  "a digest after requests with odd prompt parts is one, and tells less than 60 s of work",
  function (this: EngineWorld) {
    const fleet = EngineFleet.create({ instances: 2, engines: 2, exchangeMs: 200 });
    for (const tokens of [-1e9, Infinity, 1e308])
      fleet.sendParts(0, [
        { id: "p".repeat(5_000), tokens },
        { id: "", tokens },
      ]);
    const digest = loadDigestSchema.parse(fleet.digestOf(0));
    assert.ok(digest.engines.length > 0);
    for (const [, readMs] of digest.engines) assert.ok(readMs < 60_000);
  },
);

Then("a digest has at most {int} bytes", function (this: EngineWorld, most: number) {
  const bytes = this.engineFleet.largestDigestBytes;
  assert.ok(bytes > 0 && bytes <= most, `${bytes} bytes`);
});
