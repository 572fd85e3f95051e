import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Configuration } from "../../src/configuration/configuration.js";
import type { ConfigurationUpdate } from "../../src/configuration/configuration-change.js";
import { Section } from "../../src/configuration/section.js";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { ConfigurationFleet } from "../support/configuration-fleet.js";
import type { ScenarioWorld } from "../support/world.js";

/** Longer than an acceptance that meets a timeout in each of its requests. */
const SUBMIT_MS = 4_000;

let fleet: ConfigurationFleet;
let told: string[] = [];

const listOf = (text: string): string[] => text.split(", ");

async function submit(
  operator: string,
  changeId: string,
  baseVersion: number,
  id: string,
  update: ConfigurationUpdate = ConfigurationFleet.update(`model-${changeId}`),
): Promise<void> {
  const at = told.push("nothing") - 1;
  const { registry } = fleet.get(id);
  registry.submit({ changeId, operator, baseVersion, updates: [update] }).then(
    ({ version }) => (told[at] = `accepted ${version}`),
    (error: unknown) => {
      const { kind, message } = ServeError.from(error, ErrorKind.Internal);
      const brief = kind === ErrorKind.InvalidConfiguration || kind === ErrorKind.TableUncertain;
      told[at] = brief ? kind : `${kind}: ${message}`;
    },
  );
  for (let ms = 0; ms < SUBMIT_MS && told[at] === "nothing"; ms += 100) {
    await fleet.timers.advance(100);
  }
}

Given(
  /^instances (.+) follow the configuration$/,
  async function (this: ScenarioWorld, ids: string) {
    fleet = await ConfigurationFleet.create(listOf(ids));
    this.scene = fleet;
    told = [];
    for (const id of listOf(ids)) await fleet.start(id);
  },
);
Given("broadcasts are lost", () => {
  fleet.broadcasts = false;
});
Given(/^(\w+) is cut off from (peers|peers and table)$/, (id: string, what: string) => {
  fleet.isolated.add(id);
  if (what.endsWith("table")) fleet.withoutTable.add(id);
});
Given("{word} is connected to peers only", (id: string) => {
  fleet.isolated.delete(id);
  fleet.withoutTable.add(id);
});
Given(/^the row (\S+) holds (.+)$/, async (sort: string, value: string) => {
  const key = { partition: "configuration", sort };
  const write = { kind: "put", key, version: 1, value, expect: { kind: "any" } } as const;
  const stored = fleet.table.transact([write], "row");
  await fleet.timers.advance(0);
  await stored;
});

When(
  "{word} submits {string} on version {int} through {word}",
  (operator: string, changeId: string, base: number, id: string) =>
    submit(operator, changeId, base, id),
);
When(
  "{word} through {word} and {word} through {word} submit on version {int} at the same time",
  async (one: string, first: string, other: string, second: string, base: number) => {
    const submissions = [
      submit(one, "change-1", base, first),
      submit(other, "change-2", base, second),
    ];
    await Promise.all(submissions);
  },
);
When(
  "{word} submits {string} removing service {string} on version {int} through {word}",
  (operator: string, changeId: string, key: string, base: number, id: string) =>
    submit(operator, changeId, base, id, { kind: "remove", section: Section.Services, key }),
);
When(
  "{word} submits {int} changes through {word}",
  async (operator: string, count: number, id: string) => {
    for (let at = 1; at <= count; at += 1) await submit(operator, `change-${at}`, at, id);
  },
);
When("{word} hears of {string}( again)", async (id: string, changeId: string) => {
  const changes = fleet.history.changesAfter(1);
  await fleet.timers.advance(0);
  const change = (await changes).find((each) => each.id === changeId);
  assert.ok(change);
  fleet.get(id).receive({ kind: "configuration", change });
});
When("{word} is given the snapshot of version {int}", (id: string, version: number) => {
  const { view } = fleet.get(id);
  view.adopt(Configuration.create(version, view.configuration?.document));
});
When("instance {word} starts", (id: string) => fleet.start(id));

Then("the operators are told {string}", (expected: string) => {
  assert.equal(told.join("; "), expected);
});
Then(/^instances (.+) hold version (\d+)$/, (ids: string, version: string) => {
  for (const id of listOf(ids)) assert.equal(fleet.get(id).view.version, Number(version), id);
});
Then(/^instances? (.+) (?:is|are) (ready|unready)$/, (ids: string, state: string) => {
  for (const id of listOf(ids)) {
    assert.equal(fleet.get(id).readiness.ready, state === "ready", `instance ${id}`);
  }
});
Then("{word} adopted {string}", (id: string, versions: string) => {
  assert.equal(fleet.get(id).adopted.join(", "), versions);
});
Then("the head is version {int}", async (version: number) => {
  assert.equal((await settled(fleet.history.head()))?.version, version);
});
Then("the newest snapshot is version {int}", async (version: number) => {
  assert.equal((await settled(fleet.history.head()))?.snapshot, version);
});
Then(
  "the history of {int} changes through {word} is {string}",
  async (count: number, id: string, versions: string) => {
    const changes = await settled(fleet.get(id).registry.history(count));
    assert.equal(changes.map(({ version }) => version).join(", "), versions);
  },
);
Then(/^the newest configuration is (.+)$/, async (expected: string) => {
  const result = settled(fleet.history.newest()).then(
    (newest) => `version ${newest?.version ?? 0}`,
    (error: unknown) => ServeError.from(error, ErrorKind.Internal).kind,
  );
  assert.equal(await result, expected);
});

/** Lets the reads of a promise finish on the manual timers. */
async function settled<Result>(promise: Promise<Result>): Promise<Result> {
  promise.catch(() => undefined);
  for (let step = 0; step < 10; step += 1) await fleet.timers.advance(0);
  return promise;
}
