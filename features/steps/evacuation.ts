import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { requireServedStages } from "../../src/evacuation/require-served-stages.js";
import { Evacuations } from "../../src/evacuation/evacuations.js";
import { CrashProbe } from "../../src/forward/crash-probe.js";
import { ForwardMetrics } from "../../src/forward/forward-metrics.js";
import { StageReleases } from "../../src/forward/stage-releases.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { type SentKind, UpstreamStatements } from "../../src/forward/upstream-statements.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { PlatformRowDecoder } from "../../platform/platform-row-decoder.js";
import { entryOf } from "../support/forward-samples.js";

const SERVICE = "s";

interface EvacuationWorld {
  timers: ManualTimers;
  evacuations: Evacuations;
  directory: UpstreamDirectory;
  pending: { kind: SentKind; id: string };
  opened: number;
}

Then(
  "the operator's row {string} evacuates {string}",
  function (this: EvacuationWorld, key: string, dataCentre: string) {
    assert.equal(PlatformRowDecoder.create().evacuation(key) ?? "", dataCentre);
  },
);

function list(world: EvacuationWorld, id: string, dataCentre: string): void {
  // Nothing listens there.
  const address = `127.0.0.1:${id.slice(1)}`;
  world.directory.apply([[id, entryOf({ id, dataCentre, address, service: SERVICE })]], 0);
}

Given(
  '"u1" of data centre "a", "u2" and "u3" of data centre "b"',
  function (this: EvacuationWorld) {
    const timers = (this.timers = ManualTimers.create());
    this.evacuations = Evacuations.create({ timers });
    this.directory = UpstreamDirectory.create({ timers, evacuations: this.evacuations });
    list(this, "u1", "a");
    list(this, "u2", "b");
    list(this, "u3", "b");
  },
);

When(
  "{string} of data centre {string} is listed",
  function (this: EvacuationWorld, id: string, dataCentre: string) {
    list(this, id, dataCentre);
  },
);

When("the evacuation of {string} begins", function (this: EvacuationWorld, dataCentre: string) {
  this.evacuations.apply([{ dataCentre, evacuated: true }], 0);
});

When(
  "the evacuation of {string} ends after {int} ms",
  async function (this: EvacuationWorld, dataCentre: string, ms: number) {
    await this.timers.advance(ms);
    this.evacuations.apply([{ dataCentre, evacuated: false }], 0);
  },
);

function idsOf(entries: readonly { id: string }[]): string {
  return entries.map(({ id }) => id).join(",");
}

Then("requests may go to {string}", function (this: EvacuationWorld, ids: string) {
  assert.equal(idsOf(this.directory.forService(SERVICE)), ids);
});

Then(
  /^the service counts (\d+) upstreams? and may probe "(.*)"$/,
  function (this: EvacuationWorld, count: string, ids: string) {
    assert.equal(this.directory.servingCounts[SERVICE], Number(count));
    assert.equal(idsOf(this.directory.contactable), ids);
  },
);

Then("requests with pieces for it are refused at once", function (this: EvacuationWorld) {
  const stages = [{ service: SERVICE, after: [], resultBytes: 1 }];
  assert.throws(() => {
    requireServedStages(this.directory, stages, [2]);
  });
  requireServedStages(this.directory, stages, [0]);
});

Then(
  "the evacuation of {string} ended {int} ms ago, and that of {string} goes on",
  function (this: EvacuationWorld, ended: string, ms: number, other: string) {
    const { evacuations, timers } = this;
    assert.equal(evacuations.endedMs(ended), timers.now() - ms);
    assert.equal(evacuations.begunMs(ended), undefined);
    assert.deepEqual(evacuations.dataCentres, [other]);
  },
);

Given(
  /^a (.+) is about to go to "(.+)"$/,
  function (this: EvacuationWorld, kind: SentKind, id: string) {
    this.pending = { kind, id };
  },
);

Then("it is not sent, and counted as withheld", async function (this: EvacuationWorld) {
  const { timers, directory } = this;
  const { kind, id } = this.pending;
  const forwardMetrics = ForwardMetrics.create();
  const statements = UpstreamStatements.create({
    ...{ timers, directory, forwardMetrics },
    limitKnowledge: { recordResponse: () => undefined },
    brittleUpstreams: { recordResponse: () => undefined },
    decisionLines: { write: () => undefined } as never,
  });
  const health = UpstreamHealthRegistry.create({ timers, directory }).of(id);
  const entry = directory.find(id);
  assert(entry !== undefined);
  assert.equal(statements.trySend(entry, health, kind, undefined), false);
  const name = "nutmegstage_withheld_by_evacuation_total";
  const line = `${name}{service="${SERVICE}",kind="${kind}"} 1`;
  assert.ok((await forwardMetrics.render()).includes(line));
});

Then("a crash of {string} is not probed", async function (this: EvacuationWorld, id: string) {
  const { timers, directory } = this;
  const upstreamHealth = UpstreamHealthRegistry.create({ timers, directory });
  const entry = directory.find(id);
  assert(entry !== undefined);
  assert.equal(
    await CrashProbe.create({ timers, upstreamHealth, directory }).hasCrashed(entry),
    false,
  );
});

const ADDRESS_BY_PLACE: Readonly<Record<string, string>> = {
  "a serving": "127.0.0.1:1",
  "an evacuated": "127.0.0.1:2",
  "an unlisted": "127.0.0.1:9",
};
const RELEASE_MS = 1_000;

When(
  /^results at (an? \w+) upstream are released$/,
  async function (this: EvacuationWorld, place: string) {
    const { timers, directory } = this;
    this.opened = 0;
    const releases = StageReleases.create({
      ...{ timers, directory },
      dialect: { handleAddress: () => ADDRESS_BY_PLACE[place] },
      connectionPools: {
        acquire: () => {
          this.opened += 1;
          return Promise.reject(new Error("refused"));
        },
      },
      upstreamHealth: UpstreamHealthRegistry.create({ timers, directory }),
      upstreamStatements: UpstreamStatements.create({ timers, directory } as never),
      upstreamPermits: { acquire: () => Promise.resolve({ kind: "unlimited" }) },
      decisionLines: { write: () => undefined },
    } as never);
    releases.release(["h"], () => undefined);
    await timers.advance(RELEASE_MS);
  },
);

Then("{int} connections are opened for it", function (this: EvacuationWorld, count: number) {
  assert.equal(this.opened, count);
});
