import assert from "node:assert/strict";
import { Before, Given, Then } from "@cucumber/cucumber";
import { DemandMeter } from "../../src/admission/demand-meter.js";
import type { DemandReport } from "../../src/admission/demand-reports.js";
import { LimitShare } from "../../src/admission/limit-share.js";
import { maxMin } from "../../src/admission/max-min.js";
import { Rank } from "../../src/configuration/rank.js";
import { ManualTimers } from "../../src/time/manual-timers.js";

const STEP_MS = 50;
const SERVICE = "retriever";

interface LimitShareWorld {
  limitTimers: ManualTimers;
  meter: DemandMeter;
  live: number;
  reports: DemandReport[];
}

function limitShare(world: LimitShareWorld): LimitShare {
  return LimitShare.create(SERVICE, {
    timers: world.limitTimers,
    demandSource: world.meter,
    demandReports: { reports: () => world.reports, liveInstances: () => world.live },
  });
}

function assertBetween(value: number, min: number, max: number): void {
  assert.ok(value >= min && value <= max, `${value} is not between ${min} and ${max}`);
}

Before(function (this: LimitShareWorld) {
  this.limitTimers = ManualTimers.create();
  this.meter = DemandMeter.create({ timers: this.limitTimers });
  this.live = 1;
  this.reports = [];
});

Given(
  /^(?:an instance that|it) is offered (\d+) ms of work per second by team "(.+)" for (\d+) ms$/,
  async function (this: LimitShareWorld, rate: string, team: string, time: string) {
    for (let ms = 0; ms < Number(time); ms += STEP_MS) {
      this.meter.recordOffered(SERVICE, Rank.Standard, team, (Number(rate) * STEP_MS) / 1_000);
      await this.limitTimers.advance(STEP_MS);
    }
  },
);

Given(
  /^(\d+) live instances of which (\d+) reports? (\d+) ms of work per second$/,
  function (this: LimitShareWorld, live: string, count: string, rate: string) {
    this.live = Number(live);
    const teams = { [DemandMeter.key(SERVICE, Rank.Standard, "agdal")]: Number(rate) };
    this.reports = Array.from({ length: Number(count) }, (_, at) => ({
      instance: `i${at}`,
      ageMs: 0,
      digest: { services: {}, teams },
    }));
  },
);

Then(
  "demands of {int}, {int} and {int} share a capacity of {int} as {int}, {int} and {int}",
  function (a: number, b: number, c: number, capacity: number, x: number, y: number, z: number) {
    const shares = maxMin(new Map([a, b, c].map((demand) => [`${demand}`, demand])), capacity);
    assert.deepEqual([...shares.values()], [x, y, z]);
  },
);

Then(
  "its digest reports between {int} and {int} ms per second for team {string}",
  function (this: LimitShareWorld, min: number, max: number, team: string) {
    const { teams } = this.meter.digest();
    assertBetween(teams[DemandMeter.key(SERVICE, Rank.Standard, team)] ?? 0, min, max);
  },
);

Then(
  "of {int} slots more than {float} and less than {float} of the work of team {string} is fair",
  function (this: LimitShareWorld, slots: number, min: number, max: number, team: string) {
    const share = limitShare(this);
    share.shareOf(slots);
    assertBetween(share.fairShare(Rank.Standard, team), min, max);
  },
);

Then(
  "its share of {int} slots is between {float} and {float}",
  function (this: LimitShareWorld, slots: number, min: number, max: number) {
    assertBetween(limitShare(this).shareOf(slots), min, max);
  },
);
