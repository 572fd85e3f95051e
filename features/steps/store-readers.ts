import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { StoreFleet } from "../support/store-fleet.js";

interface ReadersWorld {
  followers: StoreFleet;
}

Given(
  "{int} instances follow a table of the store",
  async function (this: ReadersWorld, count: number) {
    this.followers = StoreFleet.create(count);
    await this.followers.timers.advance(1);
  },
);

When("{int} ms pass at the store", async function (this: ReadersWorld, ms: number) {
  await this.followers.timers.advance(ms);
});

When("the row {string} becomes {string}", function (this: ReadersWorld, key: string, text: string) {
  this.followers.put(key, text);
});

When(
  "the row {string} becomes a text of {int} bytes",
  function (this: ReadersWorld, key: string, bytes: number) {
    this.followers.put(key, "x".repeat(bytes));
  },
);

When("the row {string} is removed", function (this: ReadersWorld, key: string) {
  this.followers.put(key, undefined);
});

When("the first reader freezes", function (this: ReadersWorld) {
  this.followers.freeze(this.followers.readers[0] ?? "");
});

When("the store turns the readers away", function (this: ReadersWorld) {
  for (const id of this.followers.readers) this.followers.find(id).turnedAway = true;
});

When("the store turns the first reader away", function (this: ReadersWorld) {
  this.followers.find(this.followers.readers[0] ?? "").turnedAway = true;
});

Then(
  "no instance takes the store for away in the last {int} ms",
  function (this: ReadersWorld, ms: number) {
    const { instances } = this.followers;
    const failed = instances.filter(({ follower }) => follower.sinceFailureMs < ms);
    assert.deepEqual(
      failed.map(({ id }) => id),
      [],
    );
  },
);

Then("the followed store got at most {int} reads", function (this: ReadersWorld, count: number) {
  assert.ok(this.followers.readCalls <= count, `${this.followers.readCalls} reads`);
});

function expectKnown(world: ReadersWorld, all: boolean, key: string, text?: string): void {
  const { instances, readers } = world.followers;
  const behind = instances
    .filter(({ id }) => all || !readers.includes(id))
    .filter(({ known }) => !known.has(key) || known.get(key) !== text)
    .map(({ id }) => id);
  assert.deepEqual(behind, []);
}

Then(
  /^all (other )?instances know "(.+)" as "(.+)"$/,
  function (this: ReadersWorld, other: string | null, key: string, text: string) {
    expectKnown(this, other === null, key, text);
  },
);

Then("all instances know {string} as removed", function (this: ReadersWorld, key: string) {
  expectKnown(this, true, key, undefined);
});

Then(
  "all instances know {string} as a text of {int} bytes",
  function (this: ReadersWorld, key: string, bytes: number) {
    expectKnown(this, true, key, "x".repeat(bytes));
  },
);

Then(
  "no instance got more than {int} in 100 of the questions",
  function (this: ReadersWorld, most: number) {
    const counts = [...this.followers.questions.values()];
    const total = counts.reduce((sum, count) => sum + count, 0);
    assert.ok(total > 0);
    assert.ok(Math.max(...counts) <= (most / 100) * total, `${Math.max(...counts)} of ${total}`);
  },
);

Given(
  "{int} instances follow a table of the store, {int} of them with four times the processor time",
  async function (this: ReadersWorld, count: number, large: number) {
    this.followers = StoreFleet.create(count);
    for (let at = 0; at < large; at += 1) this.followers.cores.set(`i${at * 7}`, 4);
    await this.followers.timers.advance(1);
  },
);

Then("all readers are large", function (this: ReadersWorld) {
  const { readers, cores } = this.followers;
  assert.ok(readers.length > 1);
  for (const reader of readers) assert.equal(cores.get(reader), 4);
});
