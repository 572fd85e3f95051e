import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { ReturnSchedule } from "../../src/congestion/return-schedule.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import {
  type ReplayedClass,
  type ReplayedFigures,
  capacityPerSecond,
  replayBursts,
} from "../support/burst-replay.js";

const LEFT_MS = 6_000;
const USEFUL_MS = 2_000;
const BURST_S = 6;
const PIECES = 2;

interface HardLoadWorld {
  classes: ReplayedClass[] | undefined;
  figures: ReadonlyMap<number, ReplayedFigures>;
  timers: ManualTimers;
  schedule: ReturnSchedule;
  delays: number[];
  costMs: number;
}

function figuresOf(world: HardLoadWorld, rank: number): ReplayedFigures {
  const figures = world.figures.get(rank);
  assert.ok(figures !== undefined);
  return figures;
}

Given(
  /^the class of rank (\d+) asks for (\d+) in 100 of the capacity, (without a burst|twice that in the burst|[\d.]+ and [\d.]+ times that in the bursts), with a target of (\d+) ms$/,
  function (this: HardLoadWorld, rank: string, percent: string, kind: string, targetMs: string) {
    const [one = kind.startsWith("twice") ? 2 : 1, other = 1] = (kind.match(/[\d.]+/g) ?? []).map(
      Number,
    );
    this.classes = [
      ...(this.classes ?? []),
      {
        rank: Number(rank),
        perSecond: (Number(percent) / 100) * capacityPerSecond(PIECES),
        burst: [one, other],
        targetMs: Number(targetMs),
        leftMs: LEFT_MS,
      },
    ];
  },
);

When(
  /^the bursts are replayed with (\d) stages?(?:, the second ([\d.]+) times as slow)?$/,
  async function (this: HardLoadWorld, stages: string, slowdown: string | null) {
    const count = stages === "1" ? 1 : 2;
    this.figures = await replayBursts(this.classes ?? [], count, Number(slowdown ?? 1));
  },
);

Then(
  "at least {int} in 100 of the admitted requests of rank {int} are in time",
  function (this: HardLoadWorld, percent: number, rank: number) {
    const figures = figuresOf(this, rank);
    const admitted = figures.asked - figures.refused;
    assert.ok(figures.inTime >= (percent / 100) * admitted, JSON.stringify(figures));
  },
);

Then(
  "at most {int} in 100 of the admitted requests of rank {int} were begun in vain",
  function (this: HardLoadWorld, percent: number, rank: number) {
    const figures = figuresOf(this, rank);
    const admitted = figures.asked - figures.refused;
    assert.ok(figures.wasted <= (percent / 100) * admitted, JSON.stringify(figures));
  },
);

Then(
  "at least {int} in 100 of the requests of rank {int} are in time",
  function (this: HardLoadWorld, percent: number, rank: number) {
    const figures = figuresOf(this, rank);
    assert.ok(figures.inTime >= (percent / 100) * figures.asked, JSON.stringify(figures));
  },
);

Then(
  "at least {int} in 100 of the capacity of {int} pieces is used in time in the burst",
  function (this: HardLoadWorld, percent: number, pieces: number) {
    const inTime = [...this.figures.values()].reduce((sum, each) => sum + each.inTime, 0);
    const capacity = Math.min(
      BURST_S * capacityPerSecond(pieces),
      [...this.figures.values()].reduce((sum, { asked }) => sum + asked, 0),
    );
    assert.ok(inTime >= (percent / 100) * capacity, JSON.stringify([...this.figures]));
  },
);

Given(
  "{int} callers whose work takes {int} ms each are refused, {int} ms too late",
  function (this: HardLoadWorld, count: number, costMs: number, excessMs: number) {
    this.timers = ManualTimers.create();
    this.schedule = ReturnSchedule.create(this.timers);
    this.costMs = costMs;
    this.delays = Array.from({ length: count }, () =>
      this.schedule.promise(costMs, excessMs, USEFUL_MS),
    );
  },
);

When("{int} s pass without a return", async function (this: HardLoadWorld, seconds: number) {
  await this.timers.advance(seconds * 1_000);
});

When("the last caller repeats at once {int} times", function (this: HardLoadWorld, times: number) {
  for (let count = 0; count < times; count += 1)
    this.delays.push(this.schedule.promise(this.costMs, 100, USEFUL_MS));
});

Then(
  "the first returns after {int} ms and each next one at least {int} ms after the one before",
  function (this: HardLoadWorld, firstMs: number, gapMs: number) {
    assert.equal(this.delays[0], firstMs);
    for (const [index, delay] of this.delays.entries())
      if (index > 0) assert.ok(delay - (this.delays[index - 1] ?? 0) >= gapMs, `${delay}`);
  },
);

Then(
  "{int} callers returning within {int} ms have {int} ms of room",
  function (this: HardLoadWorld, count: number, horizonMs: number, roomMs: number) {
    assert.equal(this.delays.filter((delay) => delay < horizonMs + 200).length, count);
    assert.equal(this.schedule.reservedMs(horizonMs + 199), roomMs);
  },
);

Then("at most {int} ms of returns are promised", function (this: HardLoadWorld, ms: number) {
  assert.ok(this.schedule.reservedMs(Infinity) <= ms);
});

Then("no room is kept", function (this: HardLoadWorld) {
  assert.equal(this.schedule.reservedMs(Infinity), 0);
});

Then("its times to return do not fall", function (this: HardLoadWorld) {
  const last = this.delays.slice(-4);
  assert.deepEqual(
    last,
    [...last].sort((a, b) => a - b),
  );
});
