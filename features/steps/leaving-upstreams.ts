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
  answers: PlatformAnswer[];
  lastMs: number;
  seenBefore: number;
  timers: ManualTimers;
  directory: UpstreamDirectory;
  standings: UpstreamHealthRegistry;
}

function upstreamOf({ front }: LeavingWorld, id: string): PlatformUpstream {
  const upstream = front?.site.upstreams.find((each) => each.id === id);
  assert(upstream !== undefined);
  return upstream;
}

function requestsOf(upstream: PlatformUpstream): number {
  return upstream.seen.filter(({ control }) => !control).length;
}

Given("{string} says that it is leaving", function (this: LeavingWorld, id: string) {
  upstreamOf(this, id).leaving = true;
});

Given(
  "{string} is full and asks for {float} s without requests",
  function (this: LeavingWorld, id: string, seconds: number) {
    const upstream = upstreamOf(this, id);
    upstream.mode = UpstreamMode.Full;
    upstream.retryAfter = String(seconds);
  },
);

When(
  "{int} callers ask for {string} in turn",
  async function (this: LeavingWorld, count: number, path: string) {
    this.answers = [];
    for (let at = 0; at < count; at += 1) {
      const askedMs = performance.now();
      const request = { id: `in-turn-${at}`, pieces: 1, pieceKey: "k" };
      const answer = await this.front?.request(path, request);
      assert(answer !== undefined);
      this.answers.push(answer);
      this.lastMs = performance.now() - askedMs;
    }
  },
);

When(
  "{string} has room again and {int} ms pass",
  async function (this: LeavingWorld, id: string, ms: number) {
    const upstream = upstreamOf(this, id);
    upstream.mode = UpstreamMode.Serving;
    this.seenBefore = requestsOf(upstream);
    await new Promise((resolve) => setTimeout(resolve, ms));
  },
);

Then("all of them got status {int}", function (this: LeavingWorld, status: number) {
  for (const answer of this.answers) assert.equal(answer.status, status);
});

Then(
  "the last of them got status {int} within {int} ms",
  function (this: LeavingWorld, status: number, ms: number) {
    assert.equal(this.answers.at(-1)?.status, status);
    assert.ok(this.lastMs <= ms, `${this.lastMs} ms`);
  },
);

Then("{string} got at most {int} request", function (this: LeavingWorld, id: string, most: number) {
  assert.ok(requestsOf(upstreamOf(this, id)) <= most);
});

Then(
  "{string} got at most {int} stage call",
  function (this: LeavingWorld, id: string, most: number) {
    const calls = upstreamOf(this, id).seen.filter(({ url }) => url.endsWith("/stage-run"));
    assert.ok(calls.length <= most, `${calls.length} stage calls`);
  },
);

Then("{string} got more requests", function (this: LeavingWorld, id: string) {
  assert.ok(requestsOf(upstreamOf(this, id)) > this.seenBefore);
});

Then(
  "it was told to come back after {int} to {int} s",
  function (this: LeavingWorld, least: number, most: number) {
    const seconds = (this.answers.at(-1)?.retryAfterMs ?? 0) / MS_PER_SECOND;
    assert.ok(seconds >= least && seconds <= most, `${seconds} s`);
  },
);

Given(
  "an upstream that has said {string} and then {string}",
  function (this: LeavingWorld, first: string, second: string) {
    this.timers = ManualTimers.create();
    this.directory = UpstreamDirectory.create({ timers: this.timers });
    this.directory.apply([["u", entryOf({ id: "u", service: SERVICE, startedMs: 1 })]], 0);
    this.standings = UpstreamHealthRegistry.create({
      timers: this.timers,
      directory: this.directory,
    });
    for (const said of [first, second]) {
      const seconds = Number(/^(\d+) s$/.exec(said)?.[1] ?? 0);
      const leaving = said === "it is leaving";
      this.standings.of("u").recordAvailability({ leaving, stayAwayMs: seconds * MS_PER_SECOND });
    }
  },
);

function opensIn(world: LeavingWorld): number {
  return world.standings.availableInMs(world.directory.forService(SERVICE));
}

Then(/^it takes no work (-?\d+) ms later$/, function (this: LeavingWorld, ms: string) {
  if (Number(ms) >= 0) assert.ok(opensIn(this) > Number(ms));
});

Then(/^it takes work (-?\d+) ms later$/, function (this: LeavingWorld, ms: string) {
  if (Number(ms) >= 0) assert.ok(opensIn(this) <= Number(ms));
});

Then("a new process of it takes work at once", function (this: LeavingWorld) {
  this.directory.apply([["u", entryOf({ id: "u", service: SERVICE, startedMs: 2 })]], 0);
  assert.equal(opensIn(this), 0);
});

Then("{string} asks for {int} ms", (text: string, ms: number) => {
  assert.equal(parseRetryAfterMs(text), ms);
});
