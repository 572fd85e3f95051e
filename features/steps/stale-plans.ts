import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { BegunStreams } from "../../src/version/begun-streams.js";
import { StreamVersions } from "../../src/version/stream-versions.js";
import { VersionPlans } from "../../src/version/version-plans.js";
import { MemoryUpdates } from "../support/memory-updates.js";
import { entryOf, routeOf } from "../support/forward-samples.js";

const SERVICE = "s";

interface PlanWorld {
  rowsAgeMs: number;
  delayMs: number;
  versions: string[];
  plan: string;
  outcome: string;
}

Given(
  /^an instance that knows a plan of version "(.+)" and has rows of (\S+) ms$/,
  function (this: PlanWorld, version: string, ageMs: string) {
    this.plan = version;
    this.rowsAgeMs = Number(ageMs);
  },
);

Given(
  "it was {int} ms late, and engines of {string} serve",
  function (this: PlanWorld, delayMs: number, versions: string) {
    this.delayMs = delayMs;
    this.versions = versions.split(" ");
  },
);

When("it resumes a stream and cannot read the store", async function (this: PlanWorld) {
  const timers = ManualTimers.create();
  const directory = UpstreamDirectory.create({ timers });
  directory.apply(
    this.versions.map((softwareVersion) => [
      softwareVersion,
      entryOf({ id: softwareVersion, service: SERVICE, softwareVersion }),
    ]),
    0,
  );
  const decisionLines = { write: () => undefined } as never;
  const versionPlans = VersionPlans.create({
    ...{ directory, decisionLines, updates: MemoryUpdates.create(timers).of("i0") },
    storeView: { era: 1, upstreamsAgeMs: this.rowsAgeMs },
    loopDelay: { recentMs: this.delayMs },
  });
  const places: [string, number][] = [[this.plan, 4]];
  versionPlans.adopt(SERVICE, { sequence: 1, era: 1, distributions: [{ since: 1, places }] });
  const away = (): Promise<never> =>
    Promise.reject(ServeError.create(ErrorKind.TableUnavailable, "away"));
  const streamVersions = StreamVersions.create({
    ...{ directory, decisionLines, versionPlans, begunStreams: BegunStreams.create() },
    ...{ planKeeper: { refresh: away }, recordReader: { find: away } },
    streamRecords: { add: () => Promise.resolve(false) },
    forwardMetrics: { recordResumption: () => undefined },
  });
  const attributes = { attemptId: "a2", resumes: "a1", lastEventId: "3" };
  const route = routeOf({});
  this.outcome = await streamVersions.choose({ route, service: SERVICE, attributes }).then(
    (version) =>
      `goes on at ${this.versions.filter((v) => version.allows({ softwareVersion: v })).join()}`,
    (error: unknown) =>
      error instanceof ServeError && error.kind === ErrorKind.VersionUnknown
        ? "is refused"
        : String(error),
  );
});

Then(/^the stream (goes on at \S+|is refused)$/, function (this: PlanWorld, outcome: string) {
  assert.equal(this.outcome, outcome);
});
