import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { FrontHost } from "../support/front-host.js";

/** Longer than a heartbeat interval, after which daemons have discovered each other. */
const DISCOVERY_MS = 2_500;

interface StoreWorld {
  front: FrontHost;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

Given("{int} daemons that know each other", async function (this: StoreWorld, count: number) {
  const host = this.front;
  while (host.daemons.length < count) await host.startDaemon();
  await pause(DISCOVERY_MS);
});

When(
  "{int} ms pass in real time with reads of the store counted",
  async function (this: StoreWorld, ms: number) {
    const { store } = this.front.site;
    store.reads = 0;
    await pause(ms);
  },
);

Then("the store got at most {int} reads", function (this: StoreWorld, most: number) {
  const { reads } = this.front.site.store;
  assert.ok(reads > 0 && reads <= most, `${reads} reads`);
});
