import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { Given, Then, When } from "@cucumber/cucumber";
import { Fleet } from "../../standin/fleet.js";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import { post } from "../support/caller.js";
import { serviceCounts } from "../support/service-counts.js";
import type { ScenarioWorld } from "../support/world.js";

const DEADLINE_MS = 5_000;
const TOKENS = 8;

Given(
  /^a fleet of (\d+) daemons with (.+)$/,
  async function (this: ScenarioWorld, daemons: string, services: string) {
    this.fleet = await Fleet.create({
      daemons: Number(daemons),
      services: serviceCounts(services),
    });
  },
);

When(
  "team {string} posts {string} to {string} as {string} through daemon {int}",
  async function (
    this: ScenarioWorld,
    team: string,
    text: string,
    pipeline: string,
    className: string,
    daemon: number,
  ) {
    const credentials: Readonly<Record<string, string>> = sampleCredentials;
    this.answer = await post(this.fleet.daemons[daemon - 1]?.url ?? "", {
      credential: credentials[team] ?? "unknown",
      pipeline,
      body: { class: className, deadlineMs: DEADLINE_MS, input: { text, maxTokens: TOKENS } },
    });
  },
);

Then("the answer has {int} tokens in order", function (this: ScenarioWorld, count: number) {
  const tokens = this.answer.events.filter((event) => event.kind === "token");
  assert.deepEqual(
    tokens.map(({ id, data }) => [id, (data as { text: string }).text]),
    Array.from({ length: count }, (_, at) => [at + 1, ` w${at + 1}`]),
  );
});

Then("its length and digest match", function (this: ScenarioWorld) {
  const { events } = this.answer;
  const text = events.map(({ data }) => (data as { text?: string }).text ?? "").join("");
  assert.deepEqual(events.at(-1)?.data, {
    length: Buffer.byteLength(text),
    digest: createHash("sha256").update(text).digest("hex"),
  });
});

Then(
  "the problem is {string} with outcome {string}",
  function (this: ScenarioWorld, kind: string, outcome: string) {
    const { body, events } = this.answer;
    const problem = (body ?? events.at(-1)?.data) as { kind: string; outcome: string };
    assert.deepEqual([problem.kind, problem.outcome], [kind, outcome]);
  },
);
