import assert from "node:assert/strict";
import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import { parseRequestLimit } from "../../platform/request-limit.js";
import type { PlatformAnswer } from "../../standin/platform-caller.js";
import type { PlatformUpstream } from "../../standin/platform-upstream.js";
import { FrontHost } from "../support/front-host.js";
import { LimitFleet } from "../support/limit-fleet.js";

const MS_PER_SECOND = 1_000;
const OK = 200;
/** Time in which a response arrives and its statement is known to the fleet. */
const LEARNING_MS = 100;
const PATHS = ["/plain/1", "/stream/staged/1", "/stream/resumable/1"];

interface LimitWorld {
  front: FrontHost;
  responses: PlatformAnswer[];
  limitFleet: LimitFleet;
}

function upstreamOf({ front }: LimitWorld, id: string): PlatformUpstream {
  const upstream = front.site.upstreams.find((each) => each.id === id);
  assert(upstream !== undefined);
  return upstream;
}

Given(
  "a platform with the upstreams {string} and {string} and {int} daemons",
  async function (this: LimitWorld, a: string, b: string, daemons: number) {
    this.front = await FrontHost.create([a, b]);
    for (let at = 1; at < daemons; at += 1) await this.front.startDaemon();
  },
);

Given(
  "{string} states a limit of {string} requests per second",
  function (this: LimitWorld, id: string, limit: string) {
    upstreamOf(this, id).requestLimit = limit;
  },
);

When(
  "callers send {int} requests per second to all daemons for {int} s",
  async function (this: LimitWorld, perSecond: number, seconds: number) {
    const { front } = this;
    const sent: Promise<PlatformAnswer>[] = [];
    for (let at = 0; at < perSecond * seconds; at += 1) {
      const daemon = front.daemons[at % front.daemons.length];
      const path = PATHS[Math.floor(at / front.daemons.length) % PATHS.length] ?? "";
      sent.push(front.request(path, { pieces: 1, pieceKey: "k" }, daemon));
      await new Promise((resolve) => setTimeout(resolve, MS_PER_SECOND / perSecond));
    }
    this.responses = await Promise.all(sent);
  },
);

Then(
  "{string} got at most {int} requests in any {int} s that begin {int} s after its first statement",
  function (this: LimitWorld, id: string, most: number, windowS: number, afterS: number) {
    const upstream = upstreamOf(this, id);
    assert(upstream.firstLimitMs !== undefined, "it stated no limit");
    const fromMs = upstream.firstLimitMs + afterS * MS_PER_SECOND;
    const count = upstream.mostRequestsWithin(windowS * MS_PER_SECOND, fromMs);
    assert.ok(count <= most, `${count} requests`);
  },
);

Then("all of the callers were served", function (this: LimitWorld) {
  const unserved = this.responses.filter(({ status, whole }) => status !== OK || !whole);
  assert.equal(unserved.length, 0, `${unserved.length} of ${this.responses.length} not served`);
});

Then(
  "the limit {string} is parsed as {string} requests per second",
  (text: string, limit: string) => {
    assert.equal(parseRequestLimit(text), limit === "none" ? undefined : Number(limit));
  },
);

Given("an instance that logs its decisions", async function (this: LimitWorld) {
  this.limitFleet = await LimitFleet.create(1);
});

When(
  /^a response of "u" states (?:no limit|a limit of (\d+) requests per second)$/,
  async function (this: LimitWorld, perSecond: string | null) {
    const { limitFleet: fleet } = this;
    fleet.perSecond = perSecond === null ? undefined : Number(perSecond);
    void fleet.send(fleet.owner);
    await fleet.timers.advance(LEARNING_MS);
  },
);

When(
  '{int} ms later a request that waits {int} ms for a permit is sent to "u"',
  async function (this: LimitWorld, ms: number, maxWaitMs: number) {
    await this.limitFleet.timers.advance(ms - LEARNING_MS);
    void this.limitFleet.send(this.limitFleet.owner, { maxWaitMs });
    await this.limitFleet.timers.advance(maxWaitMs);
  },
);

Then("the log has the lines", function (this: LimitWorld, table: DataTable) {
  const columns = table.raw()[0] ?? [];
  const logged = this.limitFleet.owner.lines.map((line) =>
    columns.map((column) => (column in line ? String(line[column]) : "")),
  );
  assert.deepEqual(logged, table.raw().slice(1));
});
