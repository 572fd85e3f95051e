import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ConsolaInstance } from "consola";
import { DecisionLines } from "../../src/forward/decision-lines.js";
import { assignOwners } from "../../src/forward/owner-assignment.js";
import { OwnerConnections } from "../../src/forward/owner-connections.js";
import { RouteView } from "../../src/forward/route-view.js";
import { StageOwners } from "../../src/forward/stage-owners.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { MemberState } from "../../src/peer/member-state.js";
import type { Members } from "../../src/peer/members.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { configurationOf } from "../support/forward-samples.js";

const SERVICES = ["first", "later"];

interface OwnersWorld {
  owners: StageOwners;
  owner: string | undefined;
  timers: ManualTimers;
  opened: Set<string>;
  firstOwners: string[];
}

function silentDecisionLines(timers: ManualTimers): DecisionLines {
  const log = { info: () => undefined, warn: () => undefined } as unknown as ConsolaInstance;
  return DecisionLines.create({ log, timers });
}

Given("8 instances of which {string} started last", function (this: OwnersWorld, late: string) {
  const others = ["a", "b", "c", "d", "e", "f"].map((id) => ({ id, incarnation: 10_000 }));
  const all = [...others, { id: late, incarnation: 20_000 }];
  const members = {
    self: "self",
    all: () => all.map((each) => ({ ...each, cores: 1, state: MemberState.Alive })),
  } as unknown as Members;
  const timers = ManualTimers.create();
  this.timers = timers;
  const directory = UpstreamDirectory.create({ timers });
  const routeView = RouteView.create();
  const decisionLines = silentDecisionLines(timers);
  this.owners = StageOwners.create({
    ...{
      timers,
      self: "self",
      incarnation: 10_000,
      cores: 1,
      members,
      directory,
      routeView,
      decisionLines,
    },
  });
});

Then(
  "{string} owns none of {int} services",
  function (this: OwnersWorld, id: string, serviceCount: number) {
    const services = Array.from({ length: serviceCount }, (_, index) => `service-${index}`);
    const first = new Set(services.map((service) => this.owners.ownersFor(service, "r")[0]));
    assert.ok(!first.has(id));
    assert.ok(first.size > 1);
  },
);

When("the instances run for {int} s", async function (this: OwnersWorld, seconds: number) {
  await this.timers.advance(seconds * 1_000);
});

Then(
  "{string} owns some of {int} services",
  function (this: OwnersWorld, id: string, serviceCount: number) {
    assert.ok((countOwnedServices(this.owners, serviceCount).get(id) ?? 0) > 0);
  },
);

Then(
  "an owner that accepted a stage before comes first, unless it did not answer",
  function (this: OwnersWorld) {
    const [usual] = this.owners.ownersFor("service", "r");
    assert.equal(this.owners.ownersFor("service", "r", "late")[0], "late");
    this.owners.markUnreachable("late");
    assert.equal(this.owners.ownersFor("service", "r", "late")[0], usual);
  },
);

Given(
  "{int} instances with {float} cores and {int} with {float}, all just started",
  function (this: OwnersWorld, large: number, cores: number, small: number, fewCores: number) {
    const all = Array.from({ length: large + small }, (_, index) => ({
      id: index < large ? `large-${index}` : `small-${index}`,
      // Starts within a fraction of a second do not count as recent starts.
      incarnation: 1_000 + ((index * 37) % 300),
      cores: index < large ? cores : fewCores,
      state: MemberState.Alive,
    }));
    const [own, ...others] = all;
    assert(own !== undefined);
    const members = { self: own.id, all: () => others } as unknown as Members;
    const timers = ManualTimers.create();
    const directory = UpstreamDirectory.create({ timers });
    const { id: self, incarnation } = own;
    const routeView = RouteView.create();
    const decisionLines = silentDecisionLines(timers);
    this.owners = StageOwners.create({
      ...{
        timers,
        self,
        incarnation,
        cores: own.cores,
        members,
        directory,
        routeView,
        decisionLines,
      },
    });
  },
);

function countOwnedServices(owners: StageOwners, services: number): Map<string, number> {
  const counts = new Map<string, number>();
  for (let index = 0; index < services; index += 1) {
    const [owner = ""] = owners.ownersFor(`service-${index}`, "r");
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  return counts;
}

Then(
  "only instances with 1.35 cores own any of {int} services, and each of them owns some",
  function (this: OwnersWorld, services: number) {
    const counts = countOwnedServices(this.owners, services);
    assert.deepEqual(
      [...counts.keys()].filter((id) => !id.startsWith("large-")),
      [],
    );
    assert.equal(counts.size, 10);
  },
);

Then(
  "{int} instances own {int} services, and the large one owns most",
  function (this: OwnersWorld, owners: number, services: number) {
    const counts = countOwnedServices(this.owners, services);
    assert.equal(counts.size, owners);
    const largestOwner = [...counts].sort((a, b) => b[1] - a[1])[0]?.[0];
    assert.equal(largestOwner, "large-0");
  },
);

When("the owner of a service is late once", function (this: OwnersWorld) {
  [this.owner] = this.owners.ownersFor("service", "r");
  this.owners.recordLateAnswer(this.owner ?? "");
});

Then("it still owns the service", function (this: OwnersWorld) {
  assert.equal(this.owners.ownersFor("service", "r")[0], this.owner);
});

Then("another instance owns the service", function (this: OwnersWorld) {
  assert.notEqual(this.owners.ownersFor("service", "r")[0], this.owner);
});

When(
  "{int} pools are assigned to {int} instances of the same size",
  function (this: OwnersWorld, pools: number, instances: number) {
    const candidates = Array.from({ length: instances }, (_, index) => ({
      id: `i${index}`,
      cores: 1,
    }));
    const names = Array.from({ length: pools }, (_, index) => `service-${index}/0`);
    this.firstOwners = [...assignOwners(names, candidates).values()].map(([first = ""]) => first);
  },
);

Then("{int} instances own one pool each", function (this: OwnersWorld, count: number) {
  assert.equal(this.firstOwners.length, count);
  assert.equal(new Set(this.firstOwners).size, count);
});

When(
  "the instance runs for {int} s without requests before 2 services",
  async function (this: OwnersWorld, seconds: number) {
    const timers = ManualTimers.create();
    const routeView = RouteView.create();
    const stage = { ...{ maxCalls: 1, maxPieces: 10, baseCallMs: 200, pieceMs: 20 } };
    const services = new Map(
      SERVICES.map((name) => [name, { name, stage: { ...stage, resultBytes: 1, ttlMs: 4_000 } }]),
    );
    routeView.adopt(configurationOf({ services }));
    this.opened = new Set();
    const connections = OwnerConnections.create({
      timers,
      random: RandomSource.create(1),
      self: "self",
      routeView,
      directory: UpstreamDirectory.create({ timers }),
      stageOwners: this.owners,
      peerCalls: { open: (instance) => this.opened.add(instance) },
    });
    connections.start();
    await timers.advance(seconds * 1_000);
    connections.stop();
  },
);

Then("it has opened a connection to each owner that is not itself", function (this: OwnersWorld) {
  const owners = SERVICES.flatMap((name) => this.owners.ownersFor(name, "r")[0] ?? []);
  const others = owners.filter((owner) => owner !== "self");
  assert.ok(others.length > 0);
  assert.deepEqual([...this.opened].sort(), [...new Set(others)].sort());
});
