import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { LinkState } from "../../standin/link-state.js";
import type { PlatformAnswer } from "../../standin/platform-caller.js";
import { type StoreCopy, StoreMode } from "../../standin/platform-store.js";
import type { PlatformUpstream } from "../../standin/platform-upstream.js";
import type { FrontHost } from "../support/front-host.js";

const MS_PER_SECOND = 1_000;
const POLL_INTERVAL_MS = 100;

interface RestoreWorld {
  front: FrontHost;
  copy: StoreCopy;
  replies: PlatformAnswer[];
  sequence: number;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function upstreamOf({ front }: RestoreWorld, id: string): PlatformUpstream {
  const upstream = front.site.upstreams.find((each) => each.id === id);
  assert(upstream !== undefined);
  return upstream;
}

Given("a copy of the store is made", function (this: RestoreWorld) {
  this.copy = this.front.site.store.copy();
});

When("the row of an upstream is written {int} times", function (this: RestoreWorld, count: number) {
  const { store } = this.front.site;
  for (let at = 0; at < count; at += 1) store.put("servers", "other", { written: at });
});

When(
  "the store comes back from the copy after {int} ms",
  async function (this: RestoreWorld, ms: number) {
    const { store } = this.front.site;
    store.mode = StoreMode.Busy;
    await pause(ms);
    store.restore(this.copy);
    store.mode = StoreMode.Serving;
    await pause(ms);
  },
);

When("{string} is removed", function (this: RestoreWorld, id: string) {
  this.front.site.store.put("servers", id, undefined);
});

When("{string} registers with a higher sequence", function (this: RestoreWorld, id: string) {
  this.sequence = (this.sequence || 1) + 1;
  const entry = { ...upstreamOf(this, id).entry("pool"), seq: this.sequence };
  this.front.site.store.put("servers", id, entry);
});

When("another daemon starts", async function (this: RestoreWorld) {
  await this.front.startDaemon();
});

Given("the last daemon loses access to the store", function (this: RestoreWorld) {
  const last = this.front.daemons.at(-1);
  assert(last !== undefined);
  last.storeLink.state = LinkState.Resetting;
});

When("a caller asks each daemon for {string}", async function (this: RestoreWorld, path: string) {
  const { front } = this;
  const calls = front.daemons.map((daemon) => front.request(path, {}, daemon));
  this.replies = await Promise.all(calls);
});

Then(
  "the last daemon is registered within {int} s",
  { timeout: 60_000 },
  async function (this: RestoreWorld, seconds: number) {
    const { front } = this;
    const id = `i${front.daemons.length - 1}`;
    const endMs = Date.now() + seconds * MS_PER_SECOND;
    while (front.site.store.find("instances", id) === undefined && Date.now() < endMs)
      await pause(POLL_INTERVAL_MS);
    assert.notEqual(front.site.store.find("instances", id), undefined);
  },
);
