import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { FrontHost } from "../support/front-host.js";
import type { ResumedStream } from "../support/resuming-caller.js";
import { VersionedFleet } from "../support/versioned-fleet.js";

const WHOLE = { events: 5, eventMs: 20, breakAfter: Infinity };
/** Events of a stream that lasts through a restart of all daemons. */
const LONG = { events: 60, eventMs: 50, breakAfter: Infinity };
const RUNNING_MS = 1_000;
/** Streams in the message of a failed check. */
const SHOWN = 3;

interface VersionsWorld {
  front: FrontHost | undefined;
  versionedFleet: VersionedFleet | undefined;
  inProgress: Promise<void>;
}

function fleetOf({ versionedFleet }: VersionsWorld): VersionedFleet {
  assert(versionedFleet !== undefined);
  return versionedFleet;
}

/** The streams that were resumed; a test without any would show nothing. */
function resumedOf(world: VersionsWorld): ResumedStream[] {
  const resumed = fleetOf(world).streams.filter((stream) => stream.resumed);
  assert.ok(resumed.length > 0, "no stream was resumed");
  return resumed;
}

After(async function (this: VersionsWorld) {
  await this.versionedFleet?.stop();
});

Given(
  "{int} daemons before {int} engines of version {string} and {int} of version {string}",
  { timeout: 30_000 },
  async function (
    this: VersionsWorld,
    daemons: number,
    count: number,
    version: string,
    otherCount: number,
    otherVersion: string,
  ) {
    this.versionedFleet = await VersionedFleet.create(daemons);
    this.front = this.versionedFleet.front;
    await this.versionedFleet.addEngines(count, version, WHOLE);
    await this.versionedFleet.addEngines(otherCount, otherVersion, WHOLE);
    await this.versionedFleet.settle();
  },
);

Given(
  "all engines break off after {int} events of each response",
  function (this: VersionsWorld, breakAfter: number) {
    fleetOf(this).setPace({ ...WHOLE, breakAfter });
  },
);

Given("all streams last several seconds", function (this: VersionsWorld) {
  fleetOf(this).setPace(LONG);
});

When(
  "{int} callers receive streams and resume those that break off",
  { timeout: 30_000 },
  async function (this: VersionsWorld, count: number) {
    await fleetOf(this).receive(count);
  },
);

When("{int} callers begin to receive streams", async function (this: VersionsWorld, count: number) {
  this.inProgress = fleetOf(this).receive(count);
  await new Promise((resolve) => setTimeout(resolve, RUNNING_MS));
});

When(
  "all daemons end at the same moment and others start",
  { timeout: 30_000 },
  async function (this: VersionsWorld) {
    await fleetOf(this).front.replaceAll();
  },
);

When("the engines of version {string} end", async function (this: VersionsWorld, version: string) {
  await fleetOf(this).endEngines(version);
});

When("the streams have ended", { timeout: 30_000 }, async function (this: VersionsWorld) {
  await this.inProgress;
});

Then("no stream holds events of two versions", function (this: VersionsWorld) {
  const { streams } = fleetOf(this);
  assert.ok(streams.length > 0);
  const joined = streams.filter(({ versions }) => versions.size > 1);
  assert.equal(joined.length, 0, `${joined.length} of ${streams.length} streams`);
});

Then("no event is missing or comes twice", function (this: VersionsWorld) {
  for (const { eventIds } of fleetOf(this).streams)
    assert.deepEqual(
      eventIds,
      eventIds.map((_, at) => at + 1),
    );
});

Then("every stream is whole", function (this: VersionsWorld) {
  const { streams } = fleetOf(this);
  const whole = streams.filter((stream) => stream.whole);
  const broken = streams.filter((stream) => !stream.whole).slice(0, SHOWN);
  const shown = broken.map(({ eventIds, resumeStatuses }) => ({ eventIds, resumeStatuses }));
  assert.equal(whole.length, streams.length, `${whole.length} whole; ${JSON.stringify(shown)}`);
});

Then(
  "at least {int} in {int} of the resumed streams go on",
  function (this: VersionsWorld, part: number, total: number) {
    const resumed = resumedOf(this);
    const continued = resumed.filter((stream) => stream.continued);
    const statuses = resumed.flatMap(({ resumeStatuses }) => resumeStatuses);
    assert.ok(
      continued.length * total >= part * resumed.length,
      `${continued.length} of ${resumed.length}; statuses ${[...new Set(statuses)].join(" ")}`,
    );
  },
);
