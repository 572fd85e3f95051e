import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { RandomSource } from "../../src/random/random-source.js";
import { VersionFleet } from "../support/version-fleet.js";

const PER_SECOND = 40;
const MIN_RESUMABLE = 50;

interface PlanWorld {
  planFleets: VersionFleet[];
  writes: number;
}

async function advance({ planFleets }: PlanWorld, ms: number): Promise<void> {
  await Promise.all(planFleets.map(({ timers }) => timers.advance(ms)));
}

Given(
  "{int} instances before engines of versions {string} and {string}, {int} times",
  { timeout: 60_000 },
  async function (this: PlanWorld, count: number, a: string, b: string, seeds: number) {
    this.planFleets = [];
    for (let seed = 1; seed <= seeds; seed += 1)
      this.planFleets.push(await VersionFleet.create(count, [a, b], seed));
  },
);

When(
  "streams are sent for {int} s",
  { timeout: 120_000 },
  async function (this: PlanWorld, seconds: number) {
    this.writes = this.planFleets.reduce((sum, { rows }) => sum + rows.writes, 0);
    const sent = this.planFleets.map((fleet) => fleet.send(PER_SECOND, seconds));
    await advance(this, (seconds + 10) * 1_000);
    await Promise.all(sent);
  },
);

When(
  "streams are sent while versions {string} and {string} are released and all instances end at random moments",
  { timeout: 300_000 },
  async function (this: PlanWorld, a: string, b: string) {
    for (const [at, fleet] of this.planFleets.entries()) {
      const random = RandomSource.create(at + 1);
      const sent = fleet.send(PER_SECOND, 60);
      for (const version of [a, b]) {
        await fleet.timers.advance(random.fraction() * 5_000);
        await fleet.release(version, random.fraction() * 800);
        await fleet.replaceAll();
        await fleet.timers.advance(random.fraction() * 10_000);
        fleet.rows.away = random.fraction() < 0.3;
        await fleet.timers.advance(random.fraction() * 4_000);
        fleet.rows.away = false;
        await fleet.replaceAll();
      }
      await fleet.timers.advance(90_000);
      await sent;
    }
  },
);

Given(
  "{float} of the streams find engines of one version only usable",
  function (this: PlanWorld, share: number) {
    for (const fleet of this.planFleets) fleet.oneVersionShare = share;
  },
);

When(
  "streams are sent for {int} s and the store is away for {int} s meanwhile",
  { timeout: 120_000 },
  async function (this: PlanWorld, seconds: number, awaySeconds: number) {
    const sent = this.planFleets.map((fleet) => fleet.send(PER_SECOND, seconds));
    await advance(this, ((seconds - awaySeconds) / 2) * 1_000);
    for (const { rows } of this.planFleets) rows.away = true;
    await advance(this, awaySeconds * 1_000);
    for (const { rows } of this.planFleets) rows.away = false;
    await advance(this, (seconds + 10) * 1_000);
    await Promise.all(sent);
  },
);

When("{int} s pass for the fleets", async function (this: PlanWorld, seconds: number) {
  await advance(this, seconds * 1_000);
});

Then("no stream of them goes on at another version", function (this: PlanWorld) {
  for (const { joined, resumed } of this.planFleets) {
    assert.ok(resumed > 0);
    assert.equal(joined, 0, `${joined} of ${resumed}`);
  }
});

Then(
  "at least {float} of those go on whose version has two engines",
  function (this: PlanWorld, share: number) {
    const resumable = this.planFleets.reduce((sum, fleet) => sum + fleet.resumable, 0);
    const continued = this.planFleets.reduce((sum, fleet) => sum + fleet.continued, 0);
    assert.ok(resumable >= MIN_RESUMABLE, `${resumable} resumptions`);
    assert.ok(continued >= share * resumable, `${continued} of ${resumable}`);
  },
);

Then("nothing is written to the store", function (this: PlanWorld) {
  const writes = this.planFleets.reduce((sum, { rows }) => sum + rows.writes, 0);
  assert.equal(writes - this.writes, 0);
});

Then(
  "new streams are spread over the versions as their places within {float}",
  function (this: PlanWorld, most: number) {
    const counts = new Map<string, number>();
    for (const { begun } of this.planFleets)
      for (const [version, count] of begun) counts.set(version, (counts.get(version) ?? 0) + count);
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
    for (const count of counts.values())
      assert.ok(Math.abs(count / total - 1 / counts.size) <= most, `${count} of ${total}`);
  },
);

Then(
  "the store holds only records that were written in the last {int} s",
  function (this: PlanWorld, seconds: number) {
    for (const { rows, timers } of this.planFleets) {
      const fromMs = timers.now() - seconds * 1_000;
      const written = rows.recordRowTimesMs.filter((atMs) => atMs >= fromMs).length;
      assert.ok(written < rows.recordRowTimesMs.length, "all were written lately");
      assert.ok(rows.recordRows <= written, `${rows.recordRows} rows; ${written} written lately`);
    }
  },
);
