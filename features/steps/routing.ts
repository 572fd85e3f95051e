import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Rank } from "../../src/configuration/rank.js";
import { RandomSource } from "../../src/random/random-source.js";
import { LoadPoller } from "../../src/routing/load-poller.js";
import { Router } from "../../src/routing/router.js";
import { UpstreamRecord } from "../../src/routing/upstream-record.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import type { UpstreamClients } from "../../src/upstream/upstream-clients.js";
import { rankOf, retrieverConfiguration, retrievalWork } from "../support/decision-parts.js";

const COST_MS = 100;
const DEADLINE_MS = 10_000;
const SLOTS = 4;

interface RouterWorld {
  timers: ManualTimers;
  router: Router;
  polls: number;
}

function routerOver(count: number, seed: number, timers: ManualTimers): Router {
  const configuration = retrieverConfiguration(count, SLOTS);
  return Router.create({
    timers,
    random: RandomSource.create(seed),
    configuration: () => configuration,
    service: "retriever",
    dataCentre: "fes-a",
  });
}

function choose(router: Router, rank: Rank, prompt = "", instanceShare = 1) {
  const work = { ...retrievalWork("r", "agdal", rank, DEADLINE_MS), prompt };
  return router.choose(work, COST_MS, instanceShare);
}

function assertUnused(router: Router, times: number, instanceShare: number): void {
  const choices = Array.from({ length: times }, () =>
    choose(router, Rank.Standard, "", instanceShare),
  );
  const used = choices.filter((routed) => routed?.record === router.activeRecords()[0]);
  assert.equal(used.length, 0);
}

Given("a router over {int} upstreams", function (this: RouterWorld, count: number) {
  this.timers = ManualTimers.create();
  this.router = routerOver(count, 1, this.timers);
});

When(
  /^(\d+) upstreams? fails? (\d+) times(?: each)?$/,
  function (this: RouterWorld, count: string, times: string) {
    for (const record of this.router.activeRecords().slice(0, Number(count))) {
      for (let attempt = 0; attempt < Number(times); attempt++)
        this.router.recordResult(record, false, 0);
    }
  },
);

When("the clock advances by {int} ms", async function (this: RouterWorld, ms: number) {
  await this.timers.advance(ms);
});

When("a {string} probe succeeds", function (this: RouterWorld, rank: string) {
  const routed = choose(this.router, rankOf(rank));
  assert.equal(routed?.reason, "probe");
  this.router.recordResult(routed.record, true, 1);
});

Then("{int} upstreams are ejected", function (this: RouterWorld, count: number) {
  const ejected = this.router
    .activeRecords()
    .filter(({ ejectionState }) => ejectionState.kind !== "eligible");
  assert.equal(ejected.length, count);
});

When(
  "an upstream has an attempt in flight for {int} ms",
  async function (this: RouterWorld, ms: number) {
    this.router.activeRecords()[0]?.beginAttempt(COST_MS, this.timers.now());
    await this.timers.advance(ms);
  },
);

When(
  "an upstream takes {int} times as long as estimated {int} times",
  function (this: RouterWorld, ratio: number, times: number) {
    const [record] = this.router.activeRecords();
    for (let attempt = 0; attempt < times; attempt++) record?.recordSuccess(ratio);
  },
);

When("the other upstream has 1 attempt in flight", function (this: RouterWorld) {
  this.router.activeRecords()[1]?.beginAttempt(COST_MS, this.timers.now());
});

Then("0 of {int} choices use it", function (this: RouterWorld, times: number) {
  assertUnused(this.router, times, 1);
});

Then(
  "0 of {int} choices with an eighth of the limits use it",
  function (this: RouterWorld, times: number) {
    assertUnused(this.router, times, 1 / 8);
  },
);

Then("{string} work is not sent as a probe", function (this: RouterWorld, rank: string) {
  assert.notEqual(choose(this.router, rankOf(rank))?.reason, "probe");
});

Then(
  "two routers send the prefix {string} to the same upstream",
  function (this: RouterWorld, prefix: string) {
    const other = routerOver(6, 2, this.timers);
    // The first choice only records the prefix; from then on its home has the best score.
    const homes = [this.router, other].map((router) => {
      for (let attempt = 0; attempt < 20; attempt++) choose(router, Rank.Standard, prefix);
      const choices = Array.from({ length: 20 }, () => choose(router, Rank.Standard, prefix));
      const homeChoices = choices.filter((routed) => routed?.reason === "prefix-home");
      assert.ok(homeChoices.length > 0);
      return homeChoices[0]?.record.upstream.id;
    });
    assert.equal(homes[0], homes[1]);
  },
);

Given(
  "a poller over {int} upstreams of which {int} are used",
  function (this: RouterWorld, count: number, used: number) {
    this.timers = ManualTimers.create();
    this.router = routerOver(count, 1, this.timers);
    this.polls = 0;
    const load = (): Promise<number> => Promise.resolve(++this.polls);
    const clients = { of: () => ({ load }) } as unknown as UpstreamClients;
    const records = this.router.activeRecords();
    for (const record of records.slice(0, used)) record.beginAttempt(COST_MS, 0);
    LoadPoller.create(
      () => records,
      () => assert.fail("a poll failed"),
      { clients, timers: this.timers },
    );
  },
);

Then(
  "it sends at most {int} polls per second",
  async function (this: RouterWorld, maxPolls: number) {
    const seconds = 10;
    await this.timers.advance(seconds * 1_000);
    assert.ok(this.polls / seconds <= maxPolls, `${this.polls / seconds} polls per second`);
    assert.ok(this.polls > 0);
  },
);

Then(
  "an upstream with a slow start has {int}% of its slots at first and all after {int} ms",
  function (percent: number, ms: number) {
    const [upstream] = retrieverConfiguration(1, SLOTS).upstreamsOf("retriever");
    assert.ok(upstream);
    const record = UpstreamRecord.create(upstream, 0);
    const capacities = [0, ms].map((now) => record.capacity(now));
    assert.deepEqual(capacities, [(SLOTS * percent) / 100, SLOTS]);
  },
);
