import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { parseRetryAfterMs } from "../../platform/retry-after.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import type { PlatformAnswer } from "../../standin/platform-caller.js";
import type { PlatformUpstream } from "../../standin/platform-upstream.js";
import { UpstreamMode } from "../../standin/upstream-mode.js";
import { entryOf } from "../support/forward-samples.js";
import type { FrontHost } from "../support/front-host.js";

const SERVICE = "s";
const MS_PER_SECOND = 1_000;

interface LeavingWorld {
  front?: FrontHost;
  responses: PlatformAnswer[];
  lastLatencyMs: number;
  previousRequestCount: number;
  timers: ManualTimers;
  directory: UpstreamDirectory;
  upstreamHealth: UpstreamHealthRegistry;
}

function upstreamOf({ front }: LeavingWorld, id: string): PlatformUpstream {
  const upstream = front?.site.upstreams.find((each) => each.id === id);
  assert(upstream !== undefined);
  return upstream;
}

function requestCountOf(upstream: PlatformUpstream): number {
  return upstream.seen.filter(({ control }) => !control).length;
}

Given("{string} announces that it is leaving", function (this: LeavingWorld, id: string) {
  upstreamOf(this, id).leaving = true;
});

Given(
  "{string} is full and states a retry delay of {float} s",
  function (this: LeavingWorld, id: string, seconds: number) {
    const upstream = upstreamOf(this, id);
    upstream.mode = UpstreamMode.Full;
    upstream.retryAfter = String(seconds);
  },
);

When(
  "{int} callers ask for {string} in turn",
  async function (this: LeavingWorld, count: number, path: string) {
    this.responses = [];
    for (let at = 0; at < count; at += 1) {
      const startedMs = performance.now();
      const request = { id: `in-turn-${at}`, pieces: 1, pieceKey: "k" };
      const response = await this.front?.request(path, request);
      assert(response !== undefined);
      this.responses.push(response);
      this.lastLatencyMs = performance.now() - startedMs;
    }
  },
);

When(
  "{string} has free capacity again and {int} ms pass",
  async function (this: LeavingWorld, id: string, ms: number) {
    const upstream = upstreamOf(this, id);
    upstream.mode = UpstreamMode.Serving;
    this.previousRequestCount = requestCountOf(upstream);
    await new Promise((resolve) => setTimeout(resolve, ms));
  },
);

Then("all of them got status {int}", function (this: LeavingWorld, status: number) {
  for (const response of this.responses) assert.equal(response.status, status);
});

Then(
  "the last of them got status {int} within {int} ms",
  function (this: LeavingWorld, status: number, ms: number) {
    assert.equal(this.responses.at(-1)?.status, status);
    assert.ok(this.lastLatencyMs <= ms, `${this.lastLatencyMs} ms`);
  },
);

Then("{string} got at most {int} request", function (this: LeavingWorld, id: string, max: number) {
  assert.ok(requestCountOf(upstreamOf(this, id)) <= max);
});

Then(
  "{string} got at most {int} stage call",
  function (this: LeavingWorld, id: string, max: number) {
    const calls = upstreamOf(this, id).seen.filter(({ url }) => url.endsWith("/stage-run"));
    assert.ok(calls.length <= max, `${calls.length} stage calls`);
  },
);

Then("{string} got more requests", function (this: LeavingWorld, id: string) {
  assert.ok(requestCountOf(upstreamOf(this, id)) > this.previousRequestCount);
});

Then(
  "its response states a retry delay of {int} to {int} s",
  function (this: LeavingWorld, min: number, max: number) {
    const seconds = (this.responses.at(-1)?.retryAfterMs ?? 0) / MS_PER_SECOND;
    assert.ok(seconds >= min && seconds <= max, `${seconds} s`);
  },
);

Given(
  "an upstream that has stated {string} and then {string}",
  function (this: LeavingWorld, first: string, second: string) {
    this.timers = ManualTimers.create();
    this.directory = UpstreamDirectory.create({ timers: this.timers });
    this.directory.apply([["u", entryOf({ id: "u", service: SERVICE, startedMs: 1 })]], 0);
    this.upstreamHealth = UpstreamHealthRegistry.create({
      timers: this.timers,
      directory: this.directory,
    });
    for (const statement of [first, second]) {
      const seconds = Number(/^(\d+) s$/.exec(statement)?.[1] ?? 0);
      const leaving = statement === "it is leaving";
      this.upstreamHealth
        .of("u")
        .recordAvailability({ leaving, stayAwayMs: seconds * MS_PER_SECOND });
    }
  },
);

function availableInMs(world: LeavingWorld): number {
  return world.upstreamHealth.availableInMs(world.directory.forService(SERVICE));
}

Then(/^it takes no work (-?\d+) ms later$/, function (this: LeavingWorld, ms: string) {
  if (Number(ms) >= 0) assert.ok(availableInMs(this) > Number(ms));
});

Then(/^it takes work (-?\d+) ms later$/, function (this: LeavingWorld, ms: string) {
  if (Number(ms) >= 0) assert.ok(availableInMs(this) <= Number(ms));
});

Then("a new process of it accepts requests immediately", function (this: LeavingWorld) {
  this.directory.apply([["u", entryOf({ id: "u", service: SERVICE, startedMs: 2 })]], 0);
  assert.equal(availableInMs(this), 0);
});

Then("{string} is parsed as {int} ms", (text: string, ms: number) => {
  assert.equal(parseRetryAfterMs(text), ms);
});
