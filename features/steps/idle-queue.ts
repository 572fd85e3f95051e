import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { admitStages } from "../../src/forward/stage-admission.js";
import type { StageTicket } from "../../src/forward/stage-outcome.js";
import { waitMsForRank } from "../../src/forward/stage-wait.js";
import { StageBench } from "../support/stage-bench.js";

const CAPACITY = { maxPieces: 14, baseCallMs: 200, pieceMs: 12 };
const SERVICE = { ...CAPACITY, maxCalls: 1, resultBytes: 1_000, ttlMs: 4_000 };
/** Less than the work of the request takes. */
const TARGET_MS = 300;

interface IdleQueueWorld {
  bench: StageBench;
  /** Wait that the owner has reported. */
  reportedMs: number;
  decisions: string[];
  tickets: StageTicket["kind"][];
}

function submit(world: IdleQueueWorld): void {
  const admission = admitStages({
    stages: [{ service: "stage", after: [], resultBytes: 0 }],
    pieces: [1],
    services: new Map([["stage", { name: "stage", stage: SERVICE }]]),
    waitMs: () => world.reportedMs,
    targetLeftMs: TARGET_MS,
  });
  world.decisions.push(admission.kind);
  if (admission.kind === "refused") return;
  const { allowedMs } = admission;
  const ticket = world.bench.submit({ allowedMs, first: true });
  world.tickets.push(ticket.kind);
  if (ticket.waits !== undefined) world.reportedMs = waitMsForRank(ticket.waits, 0, 0);
}

Given(
  "the only upstream of a stage, {float} times as slow as configured, is busy and nothing waits",
  function (this: IdleQueueWorld, ratio: number) {
    this.bench = StageBench.create(1, CAPACITY);
    this.bench.healthOf("a").recordSuccess(ratio);
    this.bench.submit({ pieces: CAPACITY.maxPieces });
    this.reportedMs = 220;
    this.decisions = [];
    this.tickets = [];
  },
);

When("requests without slack arrive, one after the other", function (this: IdleQueueWorld) {
  submit(this);
  submit(this);
});

Then(
  "the instance and the owner of the stage admit the first one",
  function (this: IdleQueueWorld) {
    assert.deepEqual([this.decisions[0], this.tickets[0]], ["admitted", "accepted"]);
    assert.ok(this.reportedMs > 200, `${this.reportedMs}`);
  },
);

Then(
  "the owner refuses the second one, which the instance would admit",
  function (this: IdleQueueWorld) {
    assert.deepEqual([this.decisions[1], this.tickets[1]], ["admitted", "refused"]);
  },
);
