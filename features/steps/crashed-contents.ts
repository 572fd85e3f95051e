import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { type AwilixContainer, asValue } from "awilix";
import { PlatformRowDecoder } from "../../platform/platform-row-decoder.js";
import { RequestDialect } from "../../platform/request-dialect.js";
import { type FrontCradle, createFrontContainer } from "../../src/daemon/front-container.js";
import { createLearners } from "../../src/daemon/learners.js";
import { rendezvousMember } from "../../src/order/rendezvous.js";
import type { Update } from "../../src/peer/update.js";
import type { Updates } from "../../src/peer/updates.js";
import { frontSettingsSchema } from "../../src/settings/front-settings.js";
import { PlatformSite } from "../../standin/platform-site.js";
import { CrashMemory } from "../support/crash-memory.js";
import { MemberGroup } from "../support/member-group.js";

const DIGEST = "digest";
const STEP_MS = 1_000;

interface ContentWorld {
  members: MemberGroup;
  memory: CrashMemory;
  container: AwilixContainer<FrontCradle>;
  subscriptions: number;
  subscribedFirst: number;
}

function suspicionOf(upstream: string): Update {
  return {
    ...{ kind: "crash-suspicion", team: "", contentDigest: DIGEST, service: "s" },
    ...{ upstreams: [upstream], expiresMs: 300_000, blockedMs: 0 },
  };
}

Given("{int} members", async function (this: ContentWorld, count: number) {
  this.members = await MemberGroup.create(count);
});

When(
  "member {int} publishes a suspicion, and {int} ms pass",
  async function (this: ContentWorld, number: number, ms: number) {
    this.members.member(number).parts.updates.publish(suspicionOf("u1"));
    await this.members.clock.advance(ms);
  },
);

When("member {int} is down", function (this: ContentWorld, number: number) {
  this.members.member(number).kill();
});

When(
  "member {int} publishes an update of a later version",
  function (this: ContentWorld, number: number) {
    this.members.member(number).parts.updates.publish({ kind: "later" } as never);
  },
);

When(
  "member {int} starts again, and {int} ms pass",
  async function (this: ContentWorld, number: number, ms: number) {
    this.members.member(number).kill();
    await this.members.restart(number, this.members.clock);
    await this.members.clock.advance(ms);
  },
);

Then(
  /^a part of member (\d) that subscribes now gets (it once|nothing)$/,
  function (this: ContentWorld, number: string, outcome: string) {
    const received: Update[] = [];
    const { updates } = this.members.member(Number(number)).parts;
    updates.subscribe((update) => received.push(update)).cancel();
    const suspicions = received.filter(({ kind }) => kind === "crash-suspicion");
    assert.equal(suspicions.length, outcome === "nothing" ? 0 : 1);
  },
);

Given("{int} instances that remember crashes", async function (this: ContentWorld, count: number) {
  this.memory = CrashMemory.create(count);
  await this.memory.timers.advance(STEP_MS);
});

async function crash(
  { timers, instances }: CrashMemory,
  at: number,
  id: string,
  process: number,
): Promise<void> {
  instances[at]?.registry.recordCrash(DIGEST, { id, service: "s", startedMs: process });
  await timers.advance(STEP_MS);
}

When(
  "the content crashes process {int} of upstream {string} at instance {int}",
  async function (this: ContentWorld, process: number, id: string, number: number) {
    await crash(this.memory, number - 1, id, process);
  },
);

function writerOf({ ids }: CrashMemory): number {
  return ids.indexOf(rendezvousMember("request-contents", ids) ?? "");
}

When("the instance that writes loses the store", function (this: ContentWorld) {
  this.memory.cutOff = this.memory.ids[writerOf(this.memory)];
});

When(
  "the content crashes process {int} of upstream {string} at another instance",
  async function (this: ContentWorld, process: number, id: string) {
    const other = (writerOf(this.memory) + 1) % this.memory.ids.length;
    await crash(this.memory, other, id, process);
  },
);

When(
  "an instance of an earlier version reports a crash of upstream {string}",
  async function (this: ContentWorld, id: string) {
    this.memory.updatesOf("earlier").publish(suspicionOf(id));
    await this.memory.timers.advance(STEP_MS);
  },
);

When("all instances start again {int} ms later", async function (this: ContentWorld, ms: number) {
  await this.memory.timers.advance(ms);
  this.memory.cutOff = undefined;
  this.memory.restartAll();
  await this.memory.timers.advance(STEP_MS);
});

function refusing({ instances }: CrashMemory): boolean[] {
  return instances.map(({ registry }) => registry.isSuspected(DIGEST));
}

Then(
  /^(all|no) instances? refuses? it(?: (\d+) ms later)?$/,
  async function (this: ContentWorld, which: string, ms: string | null) {
    await this.memory.timers.advance(Number(ms ?? 0));
    for (const refuses of refusing(this.memory)) assert.equal(refuses, which === "all");
  },
);

Then("at most {int} writes were made", function (this: ContentWorld, most: number) {
  assert.ok(this.memory.writes > 0 && this.memory.writes <= most, `${this.memory.writes}`);
});

Given("the parts of a daemon on the platform", async function (this: ContentWorld) {
  const site = await PlatformSite.create([], "key");
  const settings = site.settingsOf("i0", await PlatformSite.daemonPorts(), "error");
  await site.stop();
  this.subscriptions = 0;
  this.container = createFrontContainer(frontSettingsSchema.parse(settings), {
    dialect: RequestDialect.create(),
    rowDecoder: PlatformRowDecoder.create(),
    rowStore: () => ({}) as never,
  });
  const updates: Updates = {
    publish: () => undefined,
    subscribe: () => {
      this.subscriptions += 1;
      return { cancel: () => undefined };
    },
  };
  this.container.register({ updates: asValue(updates) });
});

When("those that must exist before it listens are created", function (this: ContentWorld) {
  createLearners(this.container.cradle);
  assert.ok(this.subscriptions > 0);
});

When("all its other parts are created", function (this: ContentWorld) {
  this.subscribedFirst = this.subscriptions;
  const names = Object.keys(this.container.registrations) as (keyof FrontCradle)[];
  for (const name of names) this.container.resolve(name);
});

Then("none of these subscribes to updates", function (this: ContentWorld) {
  assert.equal(this.subscriptions, this.subscribedFirst);
});
