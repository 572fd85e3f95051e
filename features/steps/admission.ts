import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { DemandMeter } from "../../src/admission/demand-meter.js";
import type { Pool } from "../../src/admission/pool.js";
import { ServicePools } from "../../src/admission/service-pools.js";
import { SingleInstanceDemand } from "../../standin/single-instance-demand.js";
import type { Slot } from "../../src/admission/slot.js";
import type { Work } from "../../src/admission/work.js";
import { ConfigurationView } from "../../src/configuration/configuration-view.js";
import { Rank } from "../../src/configuration/rank.js";
import { ServeError } from "../../src/error/serve-error.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import type { UpstreamClients } from "../../src/upstream/upstream-clients.js";
import { rankOf, retrievers, retrieval, silentLog } from "../support/decision-parts.js";

const DEADLINE_MS = 2_000;

interface PoolWorld {
  timers: ManualTimers;
  pool: Pool;
  slots: Map<string, Slot>;
  failures: Map<string, ServeError>;
}

async function start(world: PoolWorld, work: Work): Promise<void> {
  void world.pool.acquire(work, new AbortController().signal).then(
    (slot) => world.slots.set(work.request, slot),
    (error: unknown) => world.failures.set(work.request, error as ServeError),
  );
  await world.timers.advance(0);
}

Given("a pool with {int} slots", function (this: PoolWorld, slots: number) {
  const configurationView = ConfigurationView.create();
  configurationView.adopt(retrievers(1, slots));
  this.timers = ManualTimers.create();
  this.slots = new Map();
  this.failures = new Map();
  this.pool = ServicePools.create({
    configurationView,
    decisionLog: silentLog,
    timers: this.timers,
    random: RandomSource.create(1),
    settings: { instance: { id: "i0", dataCentre: "fes-a" } },
    clients: { of: () => ({ load: () => Promise.resolve(0) }) } as unknown as UpstreamClients,
    demandSource: DemandMeter.create({ timers: this.timers }),
    demandReports: SingleInstanceDemand.create(),
  }).of("retriever");
});

Given(
  /^(\d+) attempts? of rank "(.+)" of team "(.+)" runs?$/,
  async function (this: PoolWorld, count: string, rank: string, team: string) {
    for (let at = 0; at < Number(count); at++) {
      await start(this, retrieval(`first-${at}`, team, rankOf(rank), DEADLINE_MS));
    }
    assert.equal(this.slots.size, Number(count));
  },
);

When(
  "work {string} of rank {string} of team {string} waits",
  async function (this: PoolWorld, name: string, rank: string, team: string) {
    await start(this, retrieval(name, team, rankOf(rank), DEADLINE_MS));
  },
);

When("exclusive work {string} waits", async function (this: PoolWorld, name: string) {
  await start(this, { ...retrieval(name, "agdal", Rank.Urgent, DEADLINE_MS), exclusive: true });
});

When(
  "work {string} of rank {string} of team {string} arrives with {int} ms left",
  async function (this: PoolWorld, name: string, rank: string, team: string, left: number) {
    await start(this, retrieval(name, team, rankOf(rank), left));
  },
);

When("an attempt ends", async function (this: PoolWorld) {
  const [first] = this.slots;
  assert.ok(first);
  this.slots.delete(first[0]);
  first[1].release({ kind: "succeeded", durationMs: 100, firstByteMs: 100 });
  await this.timers.advance(0);
});

When("the pool waits for {int} ms", async function (this: PoolWorld, ms: number) {
  await this.timers.advance(ms);
});

Then("work {string} runs", function (this: PoolWorld, name: string) {
  assert.ok(this.slots.has(name), `running: ${[...this.slots.keys()].join(", ")}`);
});

Then("work {string} does not run", function (this: PoolWorld, name: string) {
  assert.ok(!this.slots.has(name));
});

Then("work {string} failed with {string}", function (this: PoolWorld, name: string, kind: string) {
  assert.equal(this.failures.get(name)?.kind, kind);
});

Then(
  "it is refused as {string} with outcome {string}",
  function (this: PoolWorld, kind: string, outcome: string) {
    const [error] = this.failures.values();
    assert.ok(error instanceof ServeError);
    assert.deepEqual([error.kind, error.outcome], [kind, outcome]);
    assert.ok((error.retryAfterMs ?? 0) > 0);
  },
);
