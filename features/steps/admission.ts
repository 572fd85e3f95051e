import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { DemandMeter } from "../../src/admission/demand-meter.js";
import { PipelineAdmission } from "../../src/admission/pipeline-admission.js";
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
import {
  rankOf,
  retrieverConfiguration,
  retrievalWork,
  silentLog,
} from "../support/decision-parts.js";

const DEADLINE_MS = 2_000;

interface PoolWorld {
  timers: ManualTimers;
  pool: Pool;
  admission: PipelineAdmission;
  cancellations: (() => void)[];
  slots: Map<string, Slot>;
  failures: Map<string, ServeError>;
}

async function acquire(world: PoolWorld, work: Work): Promise<void> {
  void world.pool.acquire(work, new AbortController().signal).then(
    (slot) => world.slots.set(work.request, slot),
    (error: unknown) => world.failures.set(work.request, error as ServeError),
  );
  await world.timers.advance(0);
}

function admit(world: PoolWorld, id: string, deadline = DEADLINE_MS): () => void {
  return world.admission.admit({
    id,
    team: "agdal",
    pipeline: { name: "search", stages: [{ name: "retrieve", service: "retriever" }] },
    workClass: { name: "urgent", rank: Rank.Urgent, target: { timeMs: DEADLINE_MS, share: 0.99 } },
    input: { text: "", maxTokens: 1 },
    arrival: 0,
    deadline,
    contentDigest: id,
    idempotencyKey: undefined,
    resend: false,
  });
}

Given("a pool with {int} slots", function (this: PoolWorld, slots: number) {
  const configurationView = ConfigurationView.create();
  configurationView.adopt(retrieverConfiguration(1, slots));
  this.timers = ManualTimers.create();
  this.slots = new Map();
  this.failures = new Map();
  this.cancellations = [];
  const parts = {
    configurationView,
    decisionLog: silentLog,
    timers: this.timers,
    random: RandomSource.create(1),
    settings: { instance: { id: "i0", dataCentre: "fes-a", cores: 1 }, cores: 1 },
    clients: { of: () => ({ load: () => Promise.resolve(0) }) } as unknown as UpstreamClients,
    demandSource: DemandMeter.create({ timers: this.timers }),
    demandReports: SingleInstanceDemand.create(),
  };
  const pools = ServicePools.create(parts);
  this.pool = pools.of("retriever");
  this.admission = PipelineAdmission.create({ ...parts, pools });
});

Given(
  /^(\d+) attempts? of rank "(.+)" of team "(.+)" runs?$/,
  async function (this: PoolWorld, count: string, rank: string, team: string) {
    for (let at = 0; at < Number(count); at++) {
      await acquire(this, retrievalWork(`first-${at}`, team, rankOf(rank), DEADLINE_MS));
    }
    assert.equal(this.slots.size, Number(count));
  },
);

When(
  "work {string} of rank {string} of team {string} waits",
  async function (this: PoolWorld, name: string, rank: string, team: string) {
    await acquire(this, retrievalWork(name, team, rankOf(rank), DEADLINE_MS));
  },
);

Given(
  "{int} attempts of rank {string} took {int} ms each",
  async function (this: PoolWorld, count: number, rank: string, durationMs: number) {
    for (let at = 0; at < count; at++) {
      await acquire(this, retrievalWork(`slow-${at}`, "agdal", rankOf(rank), DEADLINE_MS));
      const slot = this.slots.get(`slow-${at}`);
      slot?.release({ kind: "succeeded", durationMs, firstByteMs: durationMs });
    }
  },
);

When(
  "exclusive work {string} of rank {string} waits",
  async function (this: PoolWorld, name: string, rank: string) {
    await acquire(this, {
      ...retrievalWork(name, "agdal", rankOf(rank), DEADLINE_MS),
      exclusive: true,
    });
  },
);

When("requests are admitted until one is refused", function (this: PoolWorld) {
  assert.throws(() => {
    for (let at = 0; at < 1_000; at++) this.cancellations.push(admit(this, `r${at}`));
  }, ServeError);
  assert.ok(this.cancellations.length > 0);
});

When("the admitted requests end before they reach the pool", function (this: PoolWorld) {
  for (const cancelReservations of this.cancellations) cancelReservations();
});

Then("another request is admitted", function (this: PoolWorld) {
  admit(this, "other");
});

When("exclusive work {string} waits", async function (this: PoolWorld, name: string) {
  await acquire(this, {
    ...retrievalWork(name, "agdal", Rank.Urgent, DEADLINE_MS),
    exclusive: true,
  });
});

When(
  "work {string} of rank {string} of team {string} arrives with {int} ms left",
  async function (this: PoolWorld, name: string, rank: string, team: string, leftMs: number) {
    await acquire(this, retrievalWork(name, team, rankOf(rank), leftMs));
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

Then(
  /^a request with (\d+) ms left is (?:admitted|refused as "(.+)")$/,
  function (this: PoolWorld, leftMs: string, kind: string | null) {
    const arrive = (): void => {
      admit(this, "arriving", this.timers.now() + Number(leftMs))();
    };
    if (kind === null) arrive();
    else assert.throws(arrive, { kind });
  },
);
