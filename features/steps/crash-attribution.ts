import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { Given, Then, When } from "@cucumber/cucumber";
import { ServeError } from "../../src/error/serve-error.js";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import { AttributionGroup, SERVICE, contentOf, crashError } from "../support/attribution-group.js";
import { post } from "../support/caller.js";
import { CrashTrial } from "../support/crash-trial.js";
import type { ScenarioWorld } from "../support/world.js";

/** Time for the daemons to discover each other by heartbeats. */
const DISCOVERY_MS = 2_500;

const groups = new WeakMap<ScenarioWorld, AttributionGroup>();
const trials = new WeakMap<ScenarioWorld, CrashTrial>();

function groupOf(world: ScenarioWorld): AttributionGroup {
  const found = groups.get(world);
  if (found === undefined) throw new Error("the scenario has no instances");
  return found;
}

function trialOf(world: ScenarioWorld): CrashTrial {
  const found = trials.get(world);
  if (found === undefined) throw new Error("the scenario has no upstreams");
  return found;
}

Given(
  "{int} instances over {int} upstreams that a poison request crashes after {int} ms",
  function (this: ScenarioWorld, instances: number, upstreams: number, crashMs: number) {
    trials.set(this, CrashTrial.create(instances, upstreams, crashMs));
  },
);

When(
  /^innocent requests run and (?:poison is|(\d+) poison contents are) sent (\d+) times, one every (\d+) ms$/,
  async function (this: ScenarioWorld, contents: string | null, times: string, intervalMs: string) {
    await trialOf(this).run(Number(contents ?? 1), Number(times), Number(intervalMs));
  },
);

Then(
  /^(at most )?(\d+) upstreams crashed and poison ends as "(.+)"$/,
  function (this: ScenarioWorld, atMost: string | null, count: string, kind: string) {
    const { crashes, poisonOutcomes } = trialOf(this);
    if (atMost === null) assert.equal(crashes, Number(count));
    else assert.ok(crashes <= Number(count), `${crashes} upstreams crashed`);
    assert.equal(poisonOutcomes.at(-1), kind);
  },
);

Then(
  "every innocent request was answered and none was refused as a suspect",
  function (this: ScenarioWorld) {
    const { innocentOutcomes } = trialOf(this);
    assert.ok(innocentOutcomes.length > 100);
    assert.deepEqual(new Set(innocentOutcomes), new Set([undefined]));
  },
);

Given("{int} instances with crash attribution", function (this: ScenarioWorld, count: number) {
  groups.set(this, AttributionGroup.create(count));
});

When("instance {int} starts again", function (this: ScenarioWorld, instance: number) {
  groupOf(this).startInstance(instance);
});

When(
  "{string} of instance {int} was in progress on an upstream that crashed",
  async function (this: ScenarioWorld, text: string, instance: number) {
    await groupOf(this).attempt(instance, text, false, crashError());
  },
);

When(
  "{string} of instance {int} was refused a connection by its upstream",
  async function (this: ScenarioWorld, text: string, instance: number) {
    await groupOf(this).attempt(instance, text, false, crashError(true));
  },
);

When(
  "{string} runs alone on instance {int} and completes",
  async function (this: ScenarioWorld, text: string, instance: number) {
    await groupOf(this).attempt(instance, text, true);
  },
);

When(
  "{string} of instance {int} crashed an upstream while running alone",
  async function (this: ScenarioWorld, text: string, instance: number) {
    await groupOf(this).convict(instance, text);
  },
);

When(
  "{int} contents of instance {int} crashed an upstream while running alone",
  async function (this: ScenarioWorld, count: number, instance: number) {
    for (let index = 0; index < count; index += 1)
      await groupOf(this).convict(instance, `silk ${index}`);
  },
);

When("the clock advances by {int} s", async function (this: ScenarioWorld, seconds: number) {
  await groupOf(this).timers.advance(seconds * 1_000);
});

Then(
  "{string} must run alone on instance {int}",
  function (this: ScenarioWorld, text: string, instance: number) {
    assert.equal(groupOf(this).of(instance).mustRunAlone(contentOf(text), SERVICE), true);
  },
);

Then(
  "{string} may share an upstream on instance {int}",
  function (this: ScenarioWorld, text: string, instance: number) {
    assert.equal(groupOf(this).of(instance).mustRunAlone(contentOf(text), SERVICE), false);
  },
);

Then(
  "{string} is refused as {string} on instance {int}",
  function (this: ScenarioWorld, text: string, kind: string, instance: number) {
    assert.throws(
      () => {
        groupOf(this).of(instance).check(contentOf(text), [SERVICE]);
      },
      (error) => error instanceof ServeError && error.kind.valueOf() === kind,
    );
  },
);

Then(
  "only instance {int} gets {string} when both claim its trial at once",
  async function (this: ScenarioWorld, winner: number, text: string) {
    const won = await groupOf(this).claimConcurrently(text);
    assert.deepEqual(won, [winner]);
  },
);

Then(
  "instance {int} knows {int} of the convictions",
  function (this: ScenarioWorld, instance: number, known: number) {
    const suspects = groupOf(this).of(instance);
    let refused = 0;
    for (let index = 0; index < 5_000; index += 1) {
      try {
        suspects.check(contentOf(`silk ${index}`), []);
      } catch {
        refused += 1;
      }
    }
    assert.equal(refused, known);
  },
);

When(
  "the advice processes crash on {string} and the daemons have discovered each other",
  async function (this: ScenarioWorld, text: string) {
    for (const [id, { url }] of this.fleet.upstreams) {
      if (id.startsWith("advice")) await this.fleet.control(url, { crashOn: text });
    }
    await delay(DISCOVERY_MS);
  },
);

When(
  "team {string} posts {string} {int} times to the daemons in turn",
  async function (this: ScenarioWorld, team: string, text: string, times: number) {
    const credentials: Readonly<Record<string, string>> = sampleCredentials;
    const body = { class: "chat", deadlineMs: 5_000, input: { text, maxTokens: 8 } };
    for (let index = 0; index < times; index += 1) {
      const { daemons } = this.fleet;
      this.answer = await post(daemons[index % daemons.length]?.url ?? "", {
        credential: credentials[team] ?? "unknown",
        pipeline: "advice",
        body,
      });
    }
  },
);

Then("{int} of the advice processes ended", function (this: ScenarioWorld, count: number) {
  const advice = [...this.fleet.upstreams].filter(([id]) => id.startsWith("advice"));
  assert.equal(advice.filter(([, { child }]) => !child.running).length, count);
});
