import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { platformConfiguration } from "../../standin/platform-configuration.js";
import { FollowingInstance } from "../support/following-instance.js";
import type { FrontHost } from "../support/front-host.js";
import { OperatorStore } from "../support/operator-store.js";
import type { StoreFleet } from "../support/store-fleet.js";

const PERCENT = 100;
const STEP_MS = 10;
const VERSION = 4;

interface RowsWorld {
  timers: ManualTimers;
  store: OperatorStore;
  storeCopy: ReturnType<OperatorStore["copy"]>;
  followers: [FollowingInstance, FollowingInstance];
  storeFleet: StoreFleet;
  front: FrontHost;
  seen: number;
}

function startFirst(world: RowsWorld): FollowingInstance {
  const other = { id: "i1", find: () => world.followers[1] };
  return FollowingInstance.create(world.timers, world.store, "i0", other);
}

Given("2 instances that follow the operator's table", async function (this: RowsWorld) {
  this.timers = ManualTimers.create();
  this.store = OperatorStore.create(this.timers);
  this.store.put("config", JSON.stringify(platformConfiguration(VERSION, ["key"])));
  const other = { id: "i0", find: () => this.followers[0] };
  const second = FollowingInstance.create(this.timers, this.store, "i1", other);
  this.followers = [startFirst(this), second];
  await this.timers.advance(2_000);
  for (const each of this.followers) each.hear(VERSION);
});

When("the operator evacuates {string}", function (this: RowsWorld, dataCentre: string) {
  this.store.put(`evacuate/${dataCentre}`, "{}");
});

When(
  "the operator takes the evacuation of {string} back",
  function (this: RowsWorld, dataCentre: string) {
    this.store.put(`evacuate/${dataCentre}`, undefined);
  },
);

When("{int} ms pass for both", async function (this: RowsWorld, ms: number) {
  await this.timers.advance(ms);
});

When("the store turns the first instance away", function (this: RowsWorld) {
  this.followers[0].turnedAway = true;
});

When("the store turns both instances away", function (this: RowsWorld) {
  for (const each of this.followers) each.turnedAway = true;
});

When("the store forgets its history and answers both again", function (this: RowsWorld) {
  this.store.forgetHistory();
  for (const each of this.followers) each.turnedAway = false;
});

When("a copy of their store is made", function (this: RowsWorld) {
  this.storeCopy = this.store.copy();
});

When("their store comes back from the copy", function (this: RowsWorld) {
  this.store.restore(this.storeCopy);
});

When("the first instance starts again", function (this: RowsWorld) {
  const [before] = this.followers;
  before.storeView.stop();
  before.frozen = true;
  this.followers[0] = startFirst(this);
  this.followers[0].turnedAway = before.turnedAway;
});

When("the first instance is frozen", function (this: RowsWorld) {
  this.followers[0].frozen = true;
});

When("the first instance wakes {int} ms late", function (this: RowsWorld, ms: number) {
  const [first] = this.followers;
  first.frozen = false;
  first.loopDelayMs = ms;
});

Then(/^it (serves|does not serve)$/, function (this: RowsWorld, serves: string) {
  assert.equal(this.followers[0].storeView.loaded, serves === "serves");
});

Then(
  "within {int} ms it handles requests, and none unless {string} is evacuated there",
  async function (this: RowsWorld, ms: number, dataCentre: string) {
    const [{ storeView, evacuations }] = this.followers;
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      if (storeView.isCurrent) assert.equal(evacuations.dataCentres.join(), dataCentre);
      await this.timers.advance(STEP_MS);
    }
    assert.ok(storeView.isCurrent);
  },
);

Then("{string} is evacuated at both", function (this: RowsWorld, dataCentre: string) {
  for (const { evacuations } of this.followers)
    assert.deepEqual(evacuations.dataCentres, [dataCentre]);
});

Then("nothing is evacuated at both", function (this: RowsWorld) {
  for (const { evacuations } of this.followers) assert.deepEqual(evacuations.dataCentres, []);
});

When(
  "the store stops answering {int} in 100 instances, among them {int} of its readers",
  function (this: RowsWorld, percent: number, readerCount: number) {
    const { instances, readers } = this.storeFleet;
    const others = instances.map(({ id }) => id).filter((id) => !readers.includes(id));
    const count = Math.max(readerCount, Math.ceil((percent / PERCENT) * instances.length));
    const chosen = [...readers.slice(0, readerCount), ...others].slice(0, count);
    for (const id of chosen) this.storeFleet.find(id).storeUnavailable = true;
  },
);

Given(
  "{string} is in data centre {string}",
  function (this: RowsWorld, id: string, dataCentre: string) {
    const { store } = this.front.site;
    const entry = store.find("servers", id) as Record<string, unknown>;
    store.put("servers", id, { ...entry, zone: dataCentre });
  },
);

/** Changes the operator's row, waits, and notes what the upstreams of the data centre have got. */
async function write(world: RowsWorld, dataCentre: string, value: unknown, ms: number) {
  const { site } = world.front;
  site.store.put("op", `evacuate/${dataCentre}`, value);
  await new Promise((resolve) => setTimeout(resolve, ms));
  world.seen = site.upstreams.find(({ id }) => id === "u2")?.seen.length ?? 0;
}

When(
  "the operator evacuates {string} and {int} ms pass",
  function (this: RowsWorld, dataCentre: string, ms: number) {
    return write(this, dataCentre, {}, ms);
  },
);

When(
  "the operator takes the evacuation of {string} back and {int} ms pass",
  function (this: RowsWorld, dataCentre: string, ms: number) {
    return write(this, dataCentre, undefined, ms);
  },
);

Then("{string} got nothing since then", function (this: RowsWorld, id: string) {
  const upstream = this.front.site.upstreams.find((each) => each.id === id);
  assert.equal(upstream?.seen.length, this.seen);
});
