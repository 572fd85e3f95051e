import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { StoreFleet, type StoreState } from "../support/store-fleet.js";

interface ReadersWorld {
  storeFleet: StoreFleet;
  storeState: StoreState;
}

Given(
  "{int} instances follow a table of the store",
  async function (this: ReadersWorld, count: number) {
    this.storeFleet = StoreFleet.create(count);
    await this.storeFleet.timers.advance(1);
  },
);

When("{int} ms pass on the fleet's clock", async function (this: ReadersWorld, ms: number) {
  await this.storeFleet.timers.advance(ms);
});

When("the row {string} becomes {string}", function (this: ReadersWorld, key: string, text: string) {
  this.storeFleet.put(key, text);
});

When(
  "the row {string} becomes a text of {int} bytes",
  function (this: ReadersWorld, key: string, bytes: number) {
    this.storeFleet.put(key, "x".repeat(bytes));
  },
);

When("the row {string} is removed", function (this: ReadersWorld, key: string) {
  this.storeFleet.put(key, undefined);
});

When("the first reader freezes", function (this: ReadersWorld) {
  this.storeFleet.freeze(this.storeFleet.readers[0] ?? "");
});

When("the store stops answering the readers", function (this: ReadersWorld) {
  for (const id of this.storeFleet.readers) this.storeFleet.find(id).storeUnavailable = true;
});

When("the store stops answering the first reader", function (this: ReadersWorld) {
  this.storeFleet.find(this.storeFleet.readers[0] ?? "").storeUnavailable = true;
});

Then(
  "no instance records a failure of the store in the last {int} ms",
  function (this: ReadersWorld, ms: number) {
    const { instances } = this.storeFleet;
    const failed = instances.filter(({ follower }) => follower.sinceFailureMs < ms);
    assert.deepEqual(
      failed.map(({ id }) => id),
      [],
    );
  },
);

Then(
  "the store of the fleet received at most {int} reads",
  function (this: ReadersWorld, count: number) {
    assert.ok(this.storeFleet.readCalls <= count, `${this.storeFleet.readCalls} reads`);
  },
);

function assertKnown(world: ReadersWorld, all: boolean, key: string, text?: string): void {
  const { instances, readers } = world.storeFleet;
  const behind = instances
    .filter(({ id }) => all || !readers.includes(id))
    .filter(({ known }) => !known.has(key) || known.get(key) !== text)
    .map(({ id }) => id);
  assert.deepEqual(behind, []);
}

Then(
  /^all (other )?instances know "(.+)" as "(.+)"$/,
  function (this: ReadersWorld, other: string | null, key: string, text: string) {
    assertKnown(this, other === null, key, text);
  },
);

Then("all instances know {string} as removed", function (this: ReadersWorld, key: string) {
  assertKnown(this, true, key, undefined);
});

Then(
  "all instances know {string} as a text of {int} bytes",
  function (this: ReadersWorld, key: string, bytes: number) {
    assertKnown(this, true, key, "x".repeat(bytes));
  },
);

Then(
  "no instance received more than {int} in 100 of the queries",
  function (this: ReadersWorld, max: number) {
    const counts = [...this.storeFleet.queryCounts.values()];
    const total = counts.reduce((sum, count) => sum + count, 0);
    assert.ok(total > 0);
    assert.ok(Math.max(...counts) <= (max / 100) * total, `${Math.max(...counts)} of ${total}`);
  },
);

Given(
  "{int} instances follow a table of the store, {int} of them with four times the cores",
  async function (this: ReadersWorld, count: number, large: number) {
    this.storeFleet = StoreFleet.create(count);
    for (let at = 0; at < large; at += 1) this.storeFleet.cores.set(`i${at * 7}`, 4);
    await this.storeFleet.timers.advance(1);
  },
);

Then("all readers are large", function (this: ReadersWorld) {
  const { readers, cores } = this.storeFleet;
  assert.ok(readers.length > 1);
  for (const reader of readers) assert.equal(cores.get(reader), 4);
});

When("a copy of the fleet's store is made", function (this: ReadersWorld) {
  this.storeState = this.storeFleet.copy();
});

When(
  "the fleet's store is away for {int} ms and comes back from the copy, {int} times",
  async function (this: ReadersWorld, ms: number, times: number) {
    const { storeFleet } = this;
    for (let time = 0; time < times; time += 1) {
      for (const instance of storeFleet.instances) instance.storeUnavailable = ms > 0;
      await storeFleet.timers.advance(ms);
      storeFleet.restore(this.storeState);
      for (const instance of storeFleet.instances) instance.storeUnavailable = false;
    }
  },
);

When("the reads of the fleet's store are counted from now", function (this: ReadersWorld) {
  this.storeFleet.readCalls = 0;
});

Then(
  "no instance has known an older text of a row after a newer one",
  function (this: ReadersWorld) {
    assert.equal(this.storeFleet.regressions, 0);
  },
);
