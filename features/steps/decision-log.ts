import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { post } from "../support/caller.js";
import type { ScenarioWorld } from "../support/world.js";

const DEADLINE_MS = 10_000;

interface DecisionLine {
  readonly message: string;
  readonly kind: string;
  readonly stage: string;
  readonly team: string;
  readonly reason: string;
}

function decisions(world: ScenarioWorld, daemon: number, kind: string): DecisionLine[] {
  return (world.fleet.daemons[daemon - 1]?.child.output ?? [])
    .map((line) => JSON.parse(line) as DecisionLine)
    .filter((line) => line.message === "decision" && line.kind === kind);
}

When(
  "team {string} posts {int} requests to {string} as {string} through daemon {int} at once",
  async function (
    this: ScenarioWorld,
    team: string,
    count: number,
    pipeline: string,
    className: string,
    daemon: number,
  ) {
    const url = this.fleet.daemons[daemon - 1]?.url ?? "";
    const credential = `${team}-key`;
    const input = { text: "which kaftan fits", maxTokens: 1 };
    const body = { class: className, deadlineMs: DEADLINE_MS, input };
    const posts = Array.from({ length: count }, () => post(url, { credential, pipeline, body }));
    const answers = await Promise.all(posts);
    assert.ok(answers.every(({ events }) => events.at(-1)?.kind === "end"));
  },
);

Then(
  "daemon {int} logged {string} for stages {string}",
  function (this: ScenarioWorld, daemon: number, kind: string, stages: string) {
    const lines = decisions(this, daemon, kind);
    assert.equal(lines.map((line) => line.stage).join(", "), stages);
    assert.ok(lines.every((line) => line.team === "seamstresses" && line.reason !== ""));
  },
);

Then(
  "daemon {int} logged {int} {string} and {int} {string} decisions",
  function (
    this: ScenarioWorld,
    daemon: number,
    first: number,
    firstKind: string,
    second: number,
    secondKind: string,
  ) {
    assert.equal(decisions(this, daemon, firstKind).length, first);
    assert.equal(decisions(this, daemon, secondKind).length, second);
  },
);
