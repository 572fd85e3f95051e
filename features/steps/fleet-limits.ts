import assert from "node:assert/strict";
import { Given, When } from "@cucumber/cucumber";
import { playEvent } from "../support/limit-events.js";
import { LimitFleet, UPSTREAM } from "../support/limit-fleet.js";
import type { FleetWorld } from "../support/limit-world.js";

const MS_PER_SECOND = 1_000;
const URGENT_RANK = 0;
const OTHER_RANK = 4;
const STEP_MS = 5;

async function runUntil({ limitFleet: fleet }: FleetWorld, endMs: number): Promise<void> {
  await fleet.timers.advance(Math.max(0, endMs - fleet.timers.now()));
}

Given(
  /^(\d+) instances and an upstream that accepts ([\d.]+) requests? per second$/,
  async function (this: FleetWorld, count: string, limit: string) {
    this.limitFleet = await LimitFleet.create(Number(count));
    this.limit = Number(limit);
    this.limitFleet.perSecond = this.limit;
    this.eventMs = this.limitFleet.timers.now();
  },
);

When(
  "urgent requests for {float} and others for {float} times the limit arrive for {int} s",
  async function (this: FleetWorld, urgent: number, others: number, seconds: number) {
    const { limitFleet: fleet, limit } = this;
    const intervalMs = MS_PER_SECOND / limit;
    const maxWaitMs = 4 * intervalMs;
    fleet.load({ perSecond: urgent * limit, seconds, rank: URGENT_RANK, maxWaitMs });
    fleet.load({ perSecond: others * limit, seconds, rank: OTHER_RANK, maxWaitMs });
    this.loadEndMs = fleet.timers.now() + seconds * MS_PER_SECOND;
    await runUntil(this, this.loadEndMs);
  },
);

When(
  "requests for {float} times the limit arrive for {int} s",
  function (this: FleetWorld, factor: number, seconds: number) {
    this.limitFleet.load({ perSecond: factor * this.limit, seconds });
    this.loadEndMs = this.limitFleet.timers.now() + seconds * MS_PER_SECOND;
  },
);

When(
  "requests for {int} per second arrive for {int} s",
  async function (this: FleetWorld, perSecond: number, seconds: number) {
    this.limitFleet.load({ perSecond, seconds, maxWaitMs: 20_000 });
    await this.limitFleet.timers.advance(seconds * MS_PER_SECOND);
  },
);

When(
  "team {string} sends {int} and team {string} {int} requests per second for {int} s",
  async function (
    this: FleetWorld,
    first: string,
    firstRate: number,
    second: string,
    secondRate: number,
    seconds: number,
  ) {
    this.limitFleet.load({ perSecond: firstRate, seconds, team: first });
    this.limitFleet.load({ perSecond: secondRate, seconds, team: second });
    this.loadEndMs = this.limitFleet.timers.now() + seconds * MS_PER_SECOND;
    await runUntil(this, this.loadEndMs);
  },
);

When(/^after (\d+) s (.+)$/, async function (this: FleetWorld, seconds: string, event: string) {
  await this.limitFleet.timers.advance(Number(seconds) * MS_PER_SECOND);
  this.eventMs = this.limitFleet.timers.now();
  await playEvent(this.limitFleet, event);
  await runUntil(this, this.loadEndMs);
});

When("an instance joins", async function (this: FleetWorld) {
  await playEvent(this.limitFleet, "an instance joins");
});

When("{int} instance sends a request", async function (this: FleetWorld, count: number) {
  this.limitFleet.network.messages = 0;
  this.sent = this.limitFleet.instances.slice(0, count).map((each) => this.limitFleet.send(each));
  await this.limitFleet.timers.advance(100);
  this.eventMs = this.limitFleet.timers.now();
});

When("nothing is sent for {int} s", async function (this: FleetWorld, seconds: number) {
  await this.limitFleet.timers.advance(seconds * MS_PER_SECOND);
});

When("{int} requests arrive at once", async function (this: FleetWorld, count: number) {
  const { limitFleet: fleet } = this;
  for (let at = 0; at < count; at += 1) {
    const instance = fleet.instances[at % fleet.instances.length];
    if (instance !== undefined) void fleet.send(instance, { maxWaitMs: 10_000 });
  }
  await fleet.timers.advance(10_000);
});

When(
  "{int} requests that can wait {int} ms arrive at once",
  async function (this: FleetWorld, count: number, maxWaitMs: number) {
    const { limitFleet: fleet } = this;
    for (let at = 0; at < count; at += 1) {
      const instance = fleet.instances[at % fleet.instances.length];
      if (instance !== undefined) void fleet.send(instance, { maxWaitMs });
    }
    await fleet.timers.advance(100);
    this.refusedAtOnce = fleet.refused.get(URGENT_RANK) ?? 0;
  },
);

When(
  "an instance freezes for {int} s while it waits for a permit",
  async function (this: FleetWorld, seconds: number) {
    const { limitFleet: fleet } = this;
    const instance = fleet.instances.find((each) => each !== fleet.owner);
    assert.ok(instance !== undefined);
    void fleet.send(instance);
    await fleet.timers.advance(MS_PER_SECOND);
    void fleet.send(instance);
    await fleet.timers.advance(STEP_MS);
    const waiting = fleet.send(instance);
    await fleet.timers.advance(STEP_MS);
    fleet.network.frozen.add(instance.id);
    instance.freeze();
    await fleet.timers.advance(seconds * MS_PER_SECOND);
    fleet.network.frozen.delete(instance.id);
    instance.thaw(seconds * MS_PER_SECOND);
    this.sent = [waiting];
    await fleet.timers.advance(MS_PER_SECOND);
  },
);

When("a response to an earlier request states no limit", function (this: FleetWorld) {
  for (const instance of this.limitFleet.instances) {
    instance.statements.recordResponse(
      UPSTREAM,
      instance.healthOf(UPSTREAM.id),
      {
        misdirected: false,
        leaving: false,
        toleratedRejections: undefined,
        stayAwayMs: 0,
        requestsPerSecond: undefined,
      },
      undefined,
    );
  }
});

When("a new process of the upstream is listed", function (this: FleetWorld) {
  for (const instance of this.limitFleet.instances) {
    instance.list({ ...UPSTREAM, startedMs: UPSTREAM.startedMs + 1 });
  }
});

When(
  "the limit falls to {int} after a request has reached the upstream, and is stated to a later one first",
  async function (this: FleetWorld, limit: number) {
    const { limitFleet: fleet } = this;
    const [first, second] = fleet.instances;
    assert.ok(first !== undefined && second !== undefined);
    void fleet.send(first, { serviceMs: 2 * MS_PER_SECOND });
    await fleet.timers.advance(MS_PER_SECOND);
    fleet.perSecond = limit;
    void fleet.send(second);
    await fleet.timers.advance(2 * MS_PER_SECOND);
  },
);

When(
  "the owner does not answer while an instance sends {int} requests within {int} s",
  async function (this: FleetWorld, count: number, seconds: number) {
    const { limitFleet: fleet } = this;
    const { owner } = fleet;
    const instance = fleet.instances.find((each) => each !== owner);
    assert.ok(instance !== undefined);
    fleet.network.frozen.add(owner.id);
    this.refusedAfterMs = 0;
    const send = async (): Promise<void> => {
      const startMs = fleet.timers.now();
      assert.equal(await fleet.send(instance, { maxWaitMs: 25 }), false);
      this.refusedAfterMs += fleet.timers.now() - startMs;
    };
    for (let at = 0; at < count; at += 1) {
      void send();
      await fleet.timers.advance((seconds * MS_PER_SECOND) / count);
    }
  },
);
