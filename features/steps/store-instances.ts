import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ConsolaInstance } from "consola";
import type { RowFeed } from "../../src/forward/row-feed.js";
import { StoreInstanceList } from "../../src/forward/store-instance-list.js";
import type { ListedInstance } from "../../src/table/listed-instance.js";

interface InstanceListWorld {
  rows: Map<string, string>;
  listed: readonly ListedInstance[];
}

function listOf(world: InstanceListWorld, id: string, cores: number): StoreInstanceList {
  const rowFeed: RowFeed = {
    readAll: () => Promise.resolve({ rows: [...world.rows], era: 1, version: 1 }),
    readChanges: () => Promise.resolve({ kind: "forgotten" }),
    put: (_table, key, text) => {
      world.rows.set(key, text);
      return Promise.resolve();
    },
  };
  const log = { warn: () => undefined } as unknown as ConsolaInstance;
  const peerAddress = "http://127.0.0.1:1";
  const self = { id, peerAddress, dataCentre: "a", state: "live" as const, cores };
  return StoreInstanceList.create({ rowFeed, log, self, seeds: [] });
}

Given(
  "an instance with {float} cores that has registered itself in the store",
  async function (this: InstanceListWorld, cores: number) {
    this.rows = new Map();
    await listOf(this, "large", cores).list();
  },
);

Given("a row of an instance that does not state its size", function (this: InstanceListWorld) {
  this.rows.set("silent", JSON.stringify({ peerAddress: "http://127.0.0.1:2", dataCentre: "a" }));
});

When("another instance lists the instances of the store", async function (this: InstanceListWorld) {
  this.listed = await listOf(this, "reader", 1).list();
});

Then(
  "they have {float} and {int} cores",
  function (this: InstanceListWorld, large: number, silent: number) {
    const cores = new Map(this.listed.map((each) => [each.id, each.cores]));
    assert.deepEqual([cores.get("large"), cores.get("silent")], [large, silent]);
  },
);
