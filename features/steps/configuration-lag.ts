import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Evacuations } from "../../src/evacuation/evacuations.js";
import type { RowSnapshot } from "../../src/forward/row-feed.js";
import { type RowUpdate, rowQuerySchema } from "../../src/forward/row-update.js";
import { RowFreshness } from "../../src/rows/row-freshness.js";
import { RouteView } from "../../src/forward/route-view.js";
import { StoreTable } from "../../src/forward/store-table.js";
import { StoreView } from "../../src/forward/store-view.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { RandomSource } from "../../src/random/random-source.js";
import { LoopDelay } from "../../src/time/loop-delay.js";
import { PauseDetection, TICK_MS } from "../../src/time/pause-detection.js";
import type { Timers } from "../../src/time/timers.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { platformConfiguration } from "../../standin/platform-configuration.js";
import { PlatformRowDecoder } from "../../platform/platform-row-decoder.js";
import { aliveMemberOf } from "../support/alive-member.js";

const PEER = "i1";
const READ_TIMEOUT_MS = 1_700;

interface LagWorld {
  timers: ManualTimers;
  routeView: RouteView;
  storeView: StoreView;
  loopDelayMs: number;
  /** Reads of whole tables. */
  reads: number;
  /** Version that the other instance sends; undefined if it does not answer. */
  sent: number | undefined;
  tell: (version: number) => void;
  freshness: RowFreshness;
  loopDelay: LoopDelay;
  jumpMs: number;
}

function rowOf(version: number): [string, string] {
  return ["config", JSON.stringify(platformConfiguration(version, ["key"]))];
}

/** Starts a view of the store; `read` is a read of a whole table, and changes cannot be read. */
function startView(world: LagWorld, read: (table: StoreTable) => Promise<RowSnapshot>): void {
  const timers = (world.timers = ManualTimers.create());
  world.loopDelayMs = 0;
  world.sent = undefined;
  world.reads = 0;
  world.routeView = RouteView.create();
  world.storeView = StoreView.create({
    ...{ self: "i0", cores: 1, timers, random: RandomSource.create(1) },
    loopDelay: {
      get recentMs() {
        return world.loopDelayMs;
      },
    },
    members: { self: "i0", all: () => [aliveMemberOf(PEER)] } as never,
    peerMethods: { register: () => undefined },
    peerCalls: {
      call: async (_peer, _method, params): Promise<RowUpdate> => {
        if (world.sent === undefined) return noAnswer(timers);
        await timers.sleep(1);
        const { table } = rowQuerySchema.parse(params);
        const changes = table === StoreTable.Configuration ? [rowOf(world.sent)] : [];
        return { era: 1, version: 9, changes, ageMs: 100, sinceFailureMs: 10_000 };
      },
    },
    rowFeed: {
      readAll: async (table) => {
        world.reads += 1;
        await timers.sleep(1);
        return read(table);
      },
      readChanges: () => noAnswer(timers),
      put: () => noAnswer(timers),
    },
    heartbeatReports: {
      onVersion: (handler) => {
        world.tell = (version) => {
          handler(PEER, version);
        };
      },
    },
    ...{ rowDecoder: PlatformRowDecoder.create(), routeView: world.routeView },
    directory: UpstreamDirectory.create({ timers }),
    evacuations: Evacuations.create({ timers }),
    decisionLines: { write: () => undefined } as never,
  });
  world.storeView.start();
}

async function noAnswer(timers: ManualTimers): Promise<never> {
  await timers.sleep(READ_TIMEOUT_MS);
  throw new Error("no answer in time");
}

Given(
  "an instance with configuration {int} whose reads of the store hang",
  async function (this: LagWorld, version: number) {
    startView(this, (table) => {
      if (this.reads > 2) return noAnswer(this.timers);
      const rows = table === StoreTable.Configuration ? [rowOf(version)] : [];
      return Promise.resolve({ rows, era: 1, version: 1 });
    });
    await this.timers.advance(100);
    assert.equal(this.routeView.version, version);
  },
);

Given("an instance that starts while the store refuses its reads", async function (this: LagWorld) {
  startView(this, () => Promise.reject(new Error("refused")));
  await this.timers.advance(100);
});

Then("it made at most {int} reads of a table", function (this: LagWorld, most: number) {
  // It follows two tables.
  assert.ok(this.reads <= 2 * most, `${this.reads} reads`);
});

When(
  /^a heartbeat names configuration (\d+), which (the other|no) instance sends$/,
  function (this: LagWorld, version: string, which: string) {
    if (which === "the other") this.sent = Number(version);
    this.tell(Number(version));
  },
);

When("{int} ms pass for it", async function (this: LagWorld, ms: number) {
  await this.timers.advance(ms);
});

When("it handles what arrives {int} ms late", function (this: LagWorld, ms: number) {
  this.loopDelayMs = ms;
});

When(
  "{int} s of heartbeats name configuration {int}, and then none for {int} s",
  async function (this: LagWorld, seconds: number, version: number, silent: number) {
    for (let second = 0; second < seconds; second += 1) {
      this.tell(version);
      await this.timers.advance(1_000);
    }
    await this.timers.advance(silent * 1_000);
  },
);

Then(
  /^its configuration is (\d+), and it handles (no )?requests$/,
  function (this: LagWorld, version: string, none: string | null) {
    assert.equal(this.routeView.version, Number(version));
    assert.equal(this.storeView.isCurrent, none === null);
  },
);

When(
  "a process that is {int} ms late handles an answer to a call of {int} ms before",
  function (this: LagWorld, recentMs: number, agoMs: number) {
    const timers = ManualTimers.create();
    this.freshness = RowFreshness.create({ timers, loopDelay: { recentMs } }, () => undefined);
    this.freshness.recordAnswer(timers.now() - agoMs, 0, "store");
  },
);

Then(
  "its rows are {int} ms old, and it answers others with {int} ms",
  function (this: LagWorld, ageMs: number, answeredMs: number) {
    assert.equal(this.freshness.ageMs, ageMs);
    assert.equal(this.freshness.reportedAgeMs, answeredMs);
  },
);

Given("a process whose loop delay is measured", function (this: LagWorld) {
  this.timers = ManualTimers.create();
  this.jumpMs = 0;
  const { timers } = this;
  const clocks: Timers = {
    now: () => timers.now(),
    wallClock: () => timers.wallClock() + this.jumpMs,
    sleep: (ms, signal) => timers.sleep(ms, signal),
    after: (ms, handler) => timers.after(ms, handler),
    every: (ms, handler) => timers.every(ms, handler),
  };
  const pauses = PauseDetection.create({ timers: clocks });
  this.loopDelay = LoopDelay.create({ timers: clocks, pauses });
  pauses.start();
});

When("{int} ms pass on both clocks", async function (this: LagWorld, ms: number) {
  await this.timers.advance(ms);
});

When("the time of day jumps by {int} ms", async function (this: LagWorld, ms: number) {
  this.jumpMs += ms;
  await this.timers.advance(TICK_MS);
});

Then("its recent delay is {int} ms", function (this: LagWorld, ms: number) {
  assert.equal(Math.round(this.loopDelay.recentMs), ms);
});
