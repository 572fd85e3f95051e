import assert from "node:assert/strict";
import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { parseRequestLimit } from "../../platform/request-limit.js";
import type { PlatformAnswer } from "../../standin/platform-caller.js";
import type { PlatformUpstream } from "../../standin/platform-upstream.js";
import type { UpstreamMode } from "../../standin/upstream-mode.js";
import { FrontHost } from "../support/front-host.js";
import { LimitFleet } from "../support/limit-fleet.js";

const MS_PER_SECOND = 1_000;
const OK = 200;
const UNAVAILABLE = 503;
/** Time in which a response arrives and its statement is known to the fleet. */
const LEARNING_MS = 100;
const PATHS = ["/plain/1", "/stream/staged/1", "/stream/resumable/1"];

interface LimitWorld {
  front: FrontHost;
  responses: PlatformAnswer[];
  latenciesMs: Map<PlatformAnswer, number>;
  limitFleet: LimitFleet;
}

function upstreamOf({ front }: LimitWorld, id: string): PlatformUpstream {
  const upstream = front.site.upstreams.find((each) => each.id === id);
  assert(upstream !== undefined);
  return upstream;
}

/** Notes the time until the response. */
async function timed(
  { latenciesMs }: LimitWorld,
  response: Promise<PlatformAnswer>,
): Promise<PlatformAnswer> {
  const startedMs = performance.now();
  const answer = await response;
  latenciesMs.set(answer, performance.now() - startedMs);
  return answer;
}

function refusedOf({ responses }: LimitWorld): PlatformAnswer[] {
  return responses.filter(({ status }) => status === UNAVAILABLE);
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

Given(
  "{string} is {string} and states a limit of {string} requests per second",
  function (this: LimitWorld, id: string, mode: UpstreamMode, limit: string) {
    upstreamOf(this, id).mode = mode;
    upstreamOf(this, id).requestLimit = limit;
  },
);

When(
  /^callers send (\d+) requests per second to (all daemons|the first daemon) for (\d+) s$/,
  async function (this: LimitWorld, rate: string, receivers: string, duration: string) {
    const perSecond = Number(rate);
    const seconds = Number(duration);
    const { front } = this;
    this.latenciesMs = new Map();
    const sent: Promise<PlatformAnswer>[] = [];
    for (let at = 0; at < perSecond * seconds; at += 1) {
      const receiver = receivers === "all daemons" ? at % front.daemons.length : 0;
      const daemon = front.daemons[receiver];
      const path = PATHS[Math.floor(at / front.daemons.length) % PATHS.length] ?? "";
      sent.push(
        timed(this, front.request(path, { pieces: 1, pieceKey: "k", id: `sent-${at}` }, daemon)),
      );
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

Then(
  "the refused callers were told to retry, within {int} ms, and their requests did not run",
  function (this: LimitWorld, ms: number) {
    const ran = this.front.site.upstreams.flatMap((upstream) => upstream.ran);
    const ranIds = new Set(ran.map(({ attemptId }) => attemptId));
    for (const response of refusedOf(this)) {
      assert.ok((response.retryAfterMs ?? 0) > 0, "no retry delay");
      assert.ok((this.latenciesMs.get(response) ?? Infinity) <= ms, "refused late");
    }
    const refusedIds = this.responses.flatMap(({ status }, at) =>
      status === UNAVAILABLE ? [`sent-${at}`] : [],
    );
    assert.deepEqual(
      refusedIds.filter((id) => ranIds.has(id)),
      [],
    );
  },
);

Then("at least {int} of the callers were refused", function (this: LimitWorld, least: number) {
  const refused = refusedOf(this).length;
  assert.ok(refused >= least, `${refused} refused`);
});

Then("at least {int} of the callers were served", function (this: LimitWorld, least: number) {
  const served = this.responses.filter(({ status }) => status === OK).length;
  assert.ok(served >= least, `${served} served`);
});

Then("no permit is asked for at {string}", async function (this: LimitWorld, id: string) {
  const { metrics } = this.front.first;
  const text = await (await fetch(`http://127.0.0.1:${metrics}/metrics`)).text();
  assert.ok(upstreamOf(this, id).firstLimitMs !== undefined, "it stated no limit");
  assert.match(text, /nutmegstage_attempts_total\{/);
  assert.doesNotMatch(text, /nutmegstage_permits_total\{/);
});

Then("each decimal number is parsed as itself and any other text as no limit", () => {
  fc.assert(
    fc.property(fc.nat(1_000_000), fc.nat(999), (whole, thousandths) => {
      const text = `${whole}.${String(thousandths).padStart(3, "0")}`;
      assert.equal(parseRequestLimit(text), Number(text));
    }),
  );
  fc.assert(
    fc.property(fc.string(), (text) => {
      const limit = parseRequestLimit(text);
      if (limit === undefined) return;
      assert.match(text.trim(), /^[\d.]+$/);
      assert.ok(Number.isFinite(limit) && limit >= 0);
    }),
  );
});
