import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { ConfigurationHistory } from "../../src/configuration/configuration-history.js";
import { MemoryTable } from "../../standin/memory-table.js";
import type { NetworkMember } from "../../standin/network-member.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";
import { noTableFaults } from "../../standin/table-faults.js";
import { ConfigurationFleet } from "../support/configuration-fleet.js";
import { MemberGroup } from "../support/member-group.js";

const SECOND_MS = 1_000;
const STEP_MS = 250;
const REGIONS = 3;
const regionName = (region: number): string => `region-${region - 1}`;

let group: MemberGroup;
let table: MemoryTable;
let adopted: Map<string, number[]>;
let mostUnready = 0;

const followersIn = (region: number): NetworkMember[] =>
  group.members.filter(({ port }) => port.region === regionName(region));
const followersOutside = (region: number): NetworkMember[] =>
  group.members.filter(({ port }) => port.region !== regionName(region));

async function pass(seconds: number): Promise<void> {
  for (let passed = 0; passed < seconds * SECOND_MS; passed += STEP_MS) {
    await group.clock.advance(STEP_MS);
    const unready = group.members.filter(({ parts }) => !parts.configurationFollower.current);
    mostUnready = Math.max(mostUnready, unready.length);
  }
}

function assertFollowers(followers: NetworkMember[], current: boolean, version: number): void {
  for (const { id, parts } of followers) {
    const { configurationFollower, configurationView } = parts;
    const held = [configurationFollower.current, configurationView.version];
    assert.deepEqual(held, [current, version], id);
  }
}

Given("{int} followers on an in-memory network", async (count: number) => {
  group = await MemberGroup.create(count, REGIONS, (clock) => (table = MemoryTable.create(clock)));
  const history = ConfigurationHistory.create({ table });
  void history.initialise(sampleConfiguration([]), "initial-change");
  await group.clock.advance(SECOND_MS);
  adopted = new Map();
  for (const { id, parts } of group.members) {
    const versions: number[] = [];
    adopted.set(id, versions);
    parts.configurationView.subscribe(({ version }) => versions.push(version));
    void parts.configurationFollower.start();
  }
  await pass(10);
  mostUnready = 0;
  assertFollowers(group.members, true, 1);
});

Given("followers of region {int} missed version {int}", async (region: number, version: number) => {
  group.network.cut(regionName(region));
  for (const { parts } of followersIn(region)) parts.configurationFollower.stop();
  const [submitter] = followersOutside(region);
  void submitter?.parts.configurationRegistry.submit({
    ...{ changeId: "change-1", operator: "amal", baseVersion: version - 1 },
    updates: [ConfigurationFleet.update("model")],
  });
  await pass(2);
  assertFollowers(followersOutside(region), true, version);
});

When("the table of the followers is down for {int} s", async (seconds: number) => {
  table.faults = { ...noTableFaults, down: true };
  await pass(seconds);
});

When(
  "the table of the followers is down and region {int} is cut for {int} s",
  async (region: number, seconds: number) => {
    table.faults = { ...noTableFaults, down: true };
    for (const { parts } of followersIn(region)) void parts.configurationFollower.start();
    await pass(seconds);
  },
);

When("region {int} is joined for {int} s", async (region: number, seconds: number) => {
  group.network.join(regionName(region));
  await pass(seconds);
});

Then("all followers were ready the whole time", () => {
  assert.equal(mostUnready, 0);
});

Then(
  "the followers of region {int} are unready on version {int}",
  (region: number, version: number) => {
    assertFollowers(followersIn(region), false, version);
  },
);

Then("the other followers are ready on version {int}", (version: number) => {
  assertFollowers(followersOutside(2), true, version);
});

Then("all followers are ready on version {int} and none went back", (version: number) => {
  assertFollowers(group.members, true, version);
  for (const versions of adopted.values()) assert.deepEqual(versions, [1, version]);
});
