import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { LinkState } from "../../standin/link-state.js";
import type { PlatformAnswer } from "../../standin/platform-caller.js";
import { StoreMode } from "../../standin/platform-store.js";
import type { PlatformUpstream } from "../../standin/platform-upstream.js";
import type { UpstreamMode } from "../../standin/upstream-mode.js";
import { FrontHost } from "../support/front-host.js";

const EVENT_IDS = ["1", "2", "3", "4", "5"];
const RELEASE_TIMEOUT_MS = 1_500;
const POLL_INTERVAL_MS = 25;
const FLEET_DISCOVERY_DELAY_MS = 2_500;

interface FrontWorld {
  front: FrontHost | undefined;
  reply: PlatformAnswer;
  replies: PlatformAnswer[];
}

function hostOf(world: FrontWorld): FrontHost {
  assert.ok(world.front !== undefined);
  return world.front;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function waitUntil(condition: () => boolean, ms: number): Promise<void> {
  const end = Date.now() + ms;
  while (!condition() && Date.now() < end) await pause(POLL_INTERVAL_MS);
  assert.ok(condition());
}

function eventIds({ body }: PlatformAnswer): string[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id ?? "");
}

function upstreamOf(world: FrontWorld, id: string): PlatformUpstream {
  const upstream = hostOf(world).site.upstreams.find((each) => each.id === id);
  assert.ok(upstream !== undefined);
  return upstream;
}

function requestsOf(upstream: PlatformUpstream): PlatformUpstream["ran"] {
  return upstream.ran.filter(({ control }) => !control);
}

After(async function (this: FrontWorld) {
  await this.front?.stop();
});

Given(
  "a platform with the upstreams {string} and {string} and a daemon",
  async function (this: FrontWorld, a: string, b: string) {
    this.front = await FrontHost.create([a, b]);
  },
);

Given("all upstreams are {string}", function (this: FrontWorld, mode: UpstreamMode) {
  for (const upstream of hostOf(this).site.upstreams) upstream.mode = mode;
});

Given("one upstream is {string}", function (this: FrontWorld, mode: UpstreamMode) {
  upstreamOf(this, "u1").mode = mode;
});

Given("upstreams answer after {int} ms", function (this: FrontWorld, ms: number) {
  for (const upstream of hostOf(this).site.upstreams) upstream.delayMs = ms;
});

Given(
  "the address of {string} now belongs to {string}",
  function (this: FrontWorld, id: string, other: string) {
    upstreamOf(this, id).id = other;
  },
);

Given(
  "a second daemon that loses access to the store after it knows the fleet",
  async function (this: FrontWorld) {
    const host = hostOf(this);
    const second = await host.startDaemon();
    await pause(FLEET_DISCOVERY_DELAY_MS);
    second.storeLink.state = LinkState.Resetting;
  },
);

When(
  "a caller asks for a stream with {int} pieces",
  async function (this: FrontWorld, pieces: number) {
    this.reply = await hostOf(this).request("/stream/staged/1", { pieces, pieceKey: "k" });
  },
);

When("a caller asks for {string}", async function (this: FrontWorld, path: string) {
  this.reply = await hostOf(this).request(path, { id: "request-1" });
});

When(
  "a caller asks for {string} with a deadline of {int} ms",
  async function (this: FrontWorld, path: string, ms: number) {
    this.reply = await hostOf(this).request(path, { deadlineMs: ms });
  },
);

When(
  "a caller asks the second daemon for {string}",
  async function (this: FrontWorld, path: string) {
    this.reply = await hostOf(this).request(path, {}, hostOf(this).daemons[1]);
  },
);

When("{int} callers ask for {string}", async function (this: FrontWorld, n: number, path: string) {
  const host = hostOf(this);
  this.replies = await Promise.all(Array.from({ length: n }, () => host.request(path)));
});

When("{int} callers ask for resumable streams", async function (this: FrontWorld, count: number) {
  const host = hostOf(this);
  const ask = (): Promise<PlatformAnswer> => host.request("/stream/resumable/1");
  this.replies = await Promise.all(Array.from({ length: count }, ask));
});

When("{string} registers as draining", function (this: FrontWorld, id: string) {
  hostOf(this).site.leave(upstreamOf(this, id));
});

When("the store has invalid upstream entries", function (this: FrontWorld) {
  hostOf(this).site.registerUnreadable();
});

When("a configuration without the key is written", function (this: FrontWorld) {
  hostOf(this).site.configure("another-key");
});

When(
  "the store does not respond while a configuration without the key is written",
  async function (this: FrontWorld) {
    const { site } = hostOf(this);
    site.store.mode = StoreMode.Silent;
    site.configure("another-key");
    await pause(FLEET_DISCOVERY_DELAY_MS);
  },
);

When("the store loses its change history and responds again", function (this: FrontWorld) {
  const { store } = hostOf(this).site;
  store.forgetHistory();
  store.mode = StoreMode.Serving;
});

When("the store is busy", function (this: FrontWorld) {
  hostOf(this).site.store.mode = StoreMode.Busy;
});

When("{int} ms pass in real time", async function (this: FrontWorld, ms: number) {
  await pause(ms);
});

Then(
  "the caller gets status {int} and {int} complete events",
  function (this: FrontWorld, status: number, count: number) {
    assert.equal(this.reply.status, status);
    assert.ok(this.reply.whole);
    assert.deepEqual(eventIds(this.reply), EVENT_IDS.slice(0, count));
  },
);

Then(
  "the engine got the handles of both pieces and the team of the key, and no key",
  function (this: FrontWorld) {
    const [run] = hostOf(this).site.upstreams.flatMap((upstream) => requestsOf(upstream));
    assert.ok(run !== undefined);
    assert.equal(run.inputs.length, 2);
    assert.equal(run.team, "team-1");
    assert.equal(run.key, undefined);
    assert.ok(run.leftMs <= 6_000);
  },
);

Then("the results are released", async function (this: FrontWorld) {
  const { upstreams } = hostOf(this).site;
  await waitUntil(
    () => upstreams.flatMap(({ released }) => released).length === 2,
    RELEASE_TIMEOUT_MS,
  );
});

Then("the caller gets status {int}", function (this: FrontWorld, status: number) {
  assert.equal(this.reply.status, status);
});

Then(
  "the caller gets status {int} and the body {string}",
  function (this: FrontWorld, status: number, body: string) {
    assert.equal(this.reply.status, status);
    assert.equal(this.reply.body, body);
  },
);

Then("the response is signed by the upstream", function (this: FrontWorld) {
  assert.match(String(this.reply.signature), /^stamp-u[12]$/);
});

Then("the caller's connection is closed early", function (this: FrontWorld) {
  assert.equal(this.reply.whole, false);
});

Then("every caller got {int} complete events in order", function (this: FrontWorld, count: number) {
  for (const reply of this.replies) {
    assert.ok(reply.whole);
    assert.deepEqual(eventIds(reply), EVENT_IDS.slice(0, count));
  }
});

Then("every caller got status {int}", function (this: FrontWorld, status: number) {
  assert.deepEqual(
    this.replies.map((reply) => reply.status),
    this.replies.map(() => status),
  );
});

Then(/^(one|no) request ran$/, function (this: FrontWorld, count: string) {
  const ran = hostOf(this).site.upstreams.flatMap((upstream) => requestsOf(upstream));
  assert.equal(ran.length, count === "one" ? 1 : 0);
});

Then("{string} ran nothing", function (this: FrontWorld, id: string) {
  const upstream = hostOf(this).site.upstreams[id === "u1" ? 0 : 1];
  assert.ok(upstream !== undefined);
  assert.equal(requestsOf(upstream).length, 0);
});

Then("the caller gets status {int} and a retry delay", function (this: FrontWorld, status: number) {
  assert.equal(this.reply.status, status);
  assert.ok((this.reply.retryAfterMs ?? 0) > 0);
});
