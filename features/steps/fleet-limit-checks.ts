import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import { PermitQueue } from "../../src/limit/permit-queue.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { UPSTREAM } from "../support/limit-fleet.js";
import type { LimitInstance } from "../support/limit-instance.js";
import type { FleetWorld } from "../support/limit-world.js";

const MS_PER_SECOND = 1_000;
const WINDOW_MS = 4_000;
const URGENT_RANK = 0;
/** Time after its grant within which a permit is used. */
const LIFETIME_MS = 400;

function knows(instance: LimitInstance): boolean {
  return instance.healthOf(UPSTREAM.id).statedLimit !== undefined;
}

Then("no instance knows a limit", function (this: FleetWorld) {
  assert.ok(!this.limitFleet.instances.some(knows));
});

Then(
  /^no 4 s have more requests than ([\d.]+) per second and one$/,
  function (this: FleetWorld, limit: string) {
    assertWithin(this.limitFleet.mostWithin(WINDOW_MS), 4 * Number(limit) + 1);
  },
);

Then(
  /^no 4 s have more requests than 1.5 times ([\d.]+) per second and 5$/,
  function (this: FleetWorld, limit: string) {
    assertWithin(this.limitFleet.mostWithin(WINDOW_MS), 1.5 * 4 * Number(limit) + 5);
  },
);

Then(
  "from {int} s afterwards on, no 4 s have more requests than {int} per second and one",
  function (this: FleetWorld, seconds: number, limit: number) {
    const fromMs = this.eventMs + seconds * MS_PER_SECOND;
    assertWithin(this.limitFleet.mostWithin(WINDOW_MS, fromMs), 4 * limit + 1);
  },
);

function assertWithin(count: number, bound: number): void {
  assert.ok(count <= bound + Number.EPSILON, `${count} requests in 4 s, ${bound} allowed`);
}

Then(
  "at least {float} of the limit is used from {int} s on",
  function (this: FleetWorld, part: number, seconds: number) {
    const fromMs = this.eventMs + seconds * MS_PER_SECOND;
    const count = this.limitFleet.countBetween(fromMs, this.loadEndMs);
    const expected = (part * this.limit * (this.loadEndMs - fromMs)) / MS_PER_SECOND;
    // A span may begin just after one request and end just before another.
    assert.ok(count + 1 >= expected, `${count} requests of ${expected}`);
  },
);

Then(
  "at least {float} of the urgent requests reach the upstream",
  function (this: FleetWorld, part: number) {
    const sent = this.limitFleet.arrivals.filter(({ rank }) => rank === URGENT_RANK).length;
    const refused = this.limitFleet.refused.get(URGENT_RANK) ?? 0;
    assert.ok(sent >= part * (sent + refused), `${sent} sent, ${refused} refused`);
  },
);

Then(
  "at least {float} of the requests of team {string} reach the upstream",
  function (this: FleetWorld, part: number, team: string) {
    const sent = this.limitFleet.arrivals.filter((each) => each.team === team).length;
    const asked = this.limitFleet.asked.get(team) ?? 0;
    assert.ok(sent >= part * asked, `${sent} of ${asked}`);
  },
);

Then("all instances know a limit of {int}", function (this: FleetWorld, limit: number) {
  const known = this.limitFleet.instances.map(
    (each) => each.healthOf(UPSTREAM.id).statedLimit?.perSecond,
  );
  assert.deepEqual(new Set(known), new Set([limit]));
});

Then("all instances know the limit within {int} ms", async function (this: FleetWorld, ms: number) {
  await this.limitFleet.timers.advance(ms);
  assert.equal(this.limitFleet.instances.filter((each) => !knows(each)).length, 0);
});

Then("at most {float} messages per instance were sent", function (this: FleetWorld, most: number) {
  const { network, instances } = this.limitFleet;
  assert.ok(network.messages <= most * instances.length, `${network.messages} messages`);
});

Then("the upstream gets requests again within {int} s", function (this: FleetWorld, s: number) {
  const fromMs = this.eventMs + s * MS_PER_SECOND;
  assert.ok(this.limitFleet.countBetween(fromMs, this.loadEndMs) > 0);
});

Then("it sends nothing when it wakes", async function (this: FleetWorld) {
  assert.deepEqual(await Promise.all(this.sent), [false]);
});

Then(
  "in the first second afterwards it gets at most {int} requests",
  function (this: FleetWorld, most: number) {
    const count = this.limitFleet.countBetween(this.eventMs, this.eventMs + MS_PER_SECOND);
    assert.ok(count <= most, `${count} requests`);
  },
);

Then(
  "from {int} s afterwards on it gets at least {int} requests per second",
  function (this: FleetWorld, seconds: number, least: number) {
    const fromMs = this.eventMs + seconds * MS_PER_SECOND;
    const count = this.limitFleet.countBetween(fromMs, this.loadEndMs);
    const perSecond = (count * MS_PER_SECOND) / (this.loadEndMs - fromMs);
    assert.ok(perSecond >= least, `${perSecond} per second`);
  },
);

Then(
  "the upstream gets {int} to {int} requests from {int} s on",
  function (this: FleetWorld, least: number, most: number, seconds: number) {
    const fromMs = this.eventMs + seconds * MS_PER_SECOND;
    const count = this.limitFleet.countBetween(fromMs, this.limitFleet.timers.now());
    assert.ok(count >= least && count <= most, `${count} requests`);
  },
);

Then("at least {int} of them are refused within 100 ms", function (this: FleetWorld, n: number) {
  assert.ok(this.refusedAtOnce >= n, `${this.refusedAtOnce} refused`);
});

Then("random requests to a queue of permits keep any limit in any 4 s", async () => {
  const arrivals = fc.array(
    fc.record({
      gapMs: fc.integer({ min: 0, max: 120 }),
      rank: fc.integer({ min: 0, max: 3 }),
      maxWaitMs: fc.integer({ min: 0, max: 5_000 }),
      perSecond: fc.oneof(
        { weight: 100, arbitrary: fc.constant(null) },
        { weight: 1, arbitrary: fc.double({ min: 0.1, max: 40, noNaN: true }) },
      ),
    }),
    { minLength: 60, maxLength: 120 },
  );
  const limit = fc.double({ min: 0.5, max: 40, noNaN: true });
  // Permits are used as late as possible until then, and at once afterwards.
  const lateUntilMs = fc.integer({ min: 0, max: 5_000 });
  await fc.assert(
    fc.asyncProperty(arrivals, limit, lateUntilMs, async (requests, perSecond, untilMs) => {
      const timers = ManualTimers.create();
      let rate = perSecond;
      let highest = rate;
      const queue = PermitQueue.create(timers, () => rate);
      const usedMs: number[] = [];
      for (const { gapMs, rank, maxWaitMs, perSecond: changed } of requests) {
        await timers.advance(gapMs);
        if (changed !== null) {
          rate = changed;
          highest = Math.max(highest, changed);
          queue.applyRate();
        }
        void queue.request({ rank, team: "t", maxWaitMs }).then((decision) => {
          if (decision.kind !== "granted") return;
          usedMs.push(decision.grantedMs + (decision.grantedMs < untilMs ? LIFETIME_MS : 0));
        });
      }
      await timers.advance(10_000);
      usedMs.sort((a, b) => a - b);
      for (const firstMs of usedMs) {
        const count = usedMs.filter((at) => at >= firstMs && at < firstMs + WINDOW_MS).length;
        assertWithin(count, 4 * highest + 1);
      }
    }),
    { numRuns: 100 },
  );
});

Then("they were refused after {int} ms in all", function (this: FleetWorld, ms: number) {
  assert.ok(this.refusedAfterMs <= ms, `${this.refusedAfterMs} ms`);
});
