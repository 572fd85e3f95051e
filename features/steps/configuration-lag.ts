import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { RowSnapshot } from "../../src/forward/row-feed.js";
import type { RowUpdate } from "../../src/forward/row-update.js";
import { RowFreshness } from "../../src/forward/row-freshness.js";
import { RouteView } from "../../src/forward/route-view.js";
import { StoreTable } from "../../src/forward/store-table.js";
import { StoreView } from "../../src/forward/store-view.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { RandomSource } from "../../src/random/random-source.js";
import { LoopDelay } from "../../src/time/loop-delay.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { platformConfiguration } from "../../standin/platform-configuration.js";
import { PlatformRowDecoder } from "../../platform/platform-row-decoder.js";
import { aliveMemberOf } from "../support/alive-member.js";

const PEER = "i1";
const TICK_MS = 200;
const READ_TIMEOUT_MS = 1_700;

interface LagWorld {
  timers: ManualTimers;
  routeView: RouteView;
  storeView: StoreView;
  loopDelayMs: number;
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

Given(
  "an instance with configuration {int} whose reads of the store hang",
  async function (this: LagWorld, version: number) {
    const timers = (this.timers = ManualTimers.create());
    this.loopDelayMs = 0;
    this.sent = undefined;
    this.routeView = RouteView.create();
    let reads = 0;
    const hang = async (): Promise<never> => {
      await timers.sleep(READ_TIMEOUT_MS);
      throw new Error("no answer in time");
    };
    const currentLoopDelay = (): number => this.loopDelayMs;
    this.storeView = StoreView.create({
      ...{ self: "i0", cores: 1, timers, random: RandomSource.create(1) },
      loopDelay: {
        get recentMs() {
          return currentLoopDelay();
        },
      },
      members: { self: "i0", all: () => [aliveMemberOf(PEER)] } as never,
      peerMethods: { register: () => undefined },
      peerCalls: {
        call: async (): Promise<RowUpdate> => {
          if (this.sent === undefined) return hang();
          await timers.sleep(1);
          const changes: [string, string][] = [rowOf(this.sent)];
          return { era: 1, version: 9, changes, ageMs: 100, sinceFailureMs: 10_000 };
        },
      },
      rowFeed: {
        readAll: async (table): Promise<RowSnapshot> => {
          reads += 1;
          await timers.sleep(1);
          const rows = table === StoreTable.Configuration ? [rowOf(version)] : [];
          return reads > 2 ? hang() : { rows, era: 1, version: 1 };
        },
        ...{ readChanges: hang, put: hang },
      },
      heartbeatReports: {
        onVersion: (handler) => {
          this.tell = (told) => {
            handler(PEER, told);
          };
        },
      },
      ...{ rowDecoder: PlatformRowDecoder.create(), routeView: this.routeView },
      directory: UpstreamDirectory.create({ timers }),
      decisionLines: { write: () => undefined } as never,
    });
    this.storeView.start();
    await timers.advance(100);
    assert.equal(this.routeView.version, version);
  },
);

When(
  /^a heartbeat tells configuration (\d+), which (the other|no) instance sends$/,
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
  "{int} s of heartbeats tell configuration {int}, and then none for {int} s",
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
  "its rows are {int} ms old, and it tells others {int} ms",
  function (this: LagWorld, ageMs: number, toldMs: number) {
    assert.equal(this.freshness.ageMs, ageMs);
    assert.equal(this.freshness.statedAgeMs, toldMs);
  },
);

Given("a process whose loop delay is measured", function (this: LagWorld) {
  this.timers = ManualTimers.create();
  this.jumpMs = 0;
  const { timers } = this;
  this.loopDelay = LoopDelay.create({
    timers: {
      now: () => timers.now(),
      wallClock: () => timers.wallClock() + this.jumpMs,
      sleep: (ms, signal) => timers.sleep(ms, signal),
      after: (ms, handler) => timers.after(ms, handler),
      every: (ms, handler) => timers.every(ms, handler),
    },
  });
  this.loopDelay.start();
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
