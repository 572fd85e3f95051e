import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ConsolaInstance } from "consola";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { DecisionLines } from "../../src/forward/decision-lines.js";
import { RetryBudget } from "../../src/forward/retry-budget.js";
import { RouteView } from "../../src/forward/route-view.js";
import type { StageCaller } from "../../src/forward/stage-caller.js";
import { StageDispatch } from "../../src/forward/stage-dispatch.js";
import { StageLoads } from "../../src/forward/stage-loads.js";
import { StageOwners } from "../../src/forward/stage-owners.js";
import { StagePools, type StageReport } from "../../src/forward/stage-pools.js";
import { shardOf } from "../../src/forward/stage-shard.js";
import type { StageSubmission } from "../../src/forward/stage-submission.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { MemberState } from "../../src/peer/member-state.js";
import type { Members } from "../../src/peer/members.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { configurationOf, entryOf } from "../support/forward-samples.js";
import { MemoryPeers } from "../support/memory-peers.js";

const CAPACITY = {
  maxCalls: 1,
  maxPieces: 10,
  baseCallMs: 200,
  pieceMs: 20,
  resultBytes: 1_000_000,
  ttlMs: 4_000,
};
const ALLOWED_MS = 1_000;
/** Rounding to whole requests in both counts. */
const TOLERANCE = 2;

interface OwnersWorld {
  peers: string[];
  error: unknown;
  admitted: number;
  pools: StagePools;
  reports: StageReport[];
}

function submissionOf(fields: Partial<StageSubmission>): StageSubmission {
  return {
    service: "first",
    attemptId: "r",
    stage: 0,
    run: 0,
    pieces: 1,
    key: "key",
    rank: 0,
    targetLeftMs: 60_000,
    leftMs: 60_000,
    afterMs: 0,
    later: [],
    allowedMs: ALLOWED_MS,
    resultBytes: 0,
    movedBytes: 0,
    ...fields,
  };
}

function createParts(
  counts: Readonly<Record<string, number>>,
  peers: readonly string[],
  stageCaller: Partial<StageCaller> = { call: () => new Promise(() => undefined) },
) {
  const timers = ManualTimers.create();
  const directory = UpstreamDirectory.create({ timers });
  const entries = Object.entries(counts).flatMap(([service, count]) =>
    Array.from({ length: count }, (_, index) => entryOf({ id: `${service}-${index}`, service })),
  );
  directory.apply(
    entries.map((entry) => [entry.id, entry]),
    0,
  );
  const routeView = RouteView.create();
  const service = { engine: undefined, stage: CAPACITY };
  const services = new Map([
    ["first", { name: "first", ...service }],
    ["later", { name: "later", ...service }],
  ]);
  routeView.adopt(configurationOf({ services: services as never }));
  const members = {
    self: "self",
    all: () => peers.map((id) => ({ id, incarnation: 1, cores: 1, state: MemberState.Alive })),
  } as unknown as Members;
  const memory = new MemoryPeers();
  const log = { info: () => undefined, warn: () => undefined } as unknown as ConsolaInstance;
  const retryBudgetLimits = { ratio: 0.2, slack: 50, windowMs: 10_000 };
  const parts = {
    timers,
    self: "self",
    members,
    peerCalls: memory,
    peerMethods: memory.methodsOf("self"),
    routeView,
    directory,
    upstreamHealth: UpstreamHealthRegistry.create({ timers, directory }),
    heldPermits: { isReady: () => true, take: () => undefined },
    stageCaller: stageCaller as StageCaller,
    retryBudget: RetryBudget.create({ timers, retryBudgetLimits, liveInstances: () => 1 }),
    decisionLines: DecisionLines.create({ log, timers }),
    stageLoads: StageLoads.create({ timers, directory }),
  };
  const stageOwners = StageOwners.create({ ...parts, incarnation: 1, cores: 1 });
  return { ...parts, stageOwners, stagePools: StagePools.create({ ...parts, stageOwners }) };
}

function countAdmitted(firstUpstreams: number): number {
  const parts = createParts({ first: firstUpstreams, later: 8 }, []);
  const shard = shardOf("r0", firstUpstreams);
  let admitted = 0;
  for (let index = 0; ; index += 1) {
    const attemptId = `r${index}`;
    if (shardOf(attemptId, firstUpstreams) !== shard) continue;
    const later = [{ service: "later", pieces: 4 }];
    const { kind } = parts.stagePools.submit(submissionOf({ attemptId, later }), "self");
    if (kind === "refused") return admitted;
    admitted += 1;
  }
}

Given(
  /^(an owner that does not answer|no other instance) and no room on this instance$/,
  function (this: OwnersWorld, other: string) {
    this.peers = other === "no other instance" ? [] : ["silent"];
  },
);

Given("16 upstreams of a first and 8 of a later service", function (this: OwnersWorld) {
  this.admitted = 0;
});

When("a stage is submitted", async function (this: OwnersWorld) {
  const parts = createParts({ first: 1 }, this.peers);
  const dispatch = StageDispatch.create(parts);
  // Several attempt ids, so that some of them belong to the silent instance if there is one.
  for (let index = 0; index < 50 && this.error === undefined; index += 1) {
    const submission = submissionOf({ attemptId: `r${index}`, leftMs: 100 });
    try {
      await dispatch.run(submission, new AbortController().signal);
    } catch (error) {
      this.error = error;
    }
  }
});

When("requests of one shard arrive until one is refused", function (this: OwnersWorld) {
  this.admitted = countAdmitted(16);
});

Then("it is refused with outcome {string}", function (this: OwnersWorld, outcome: string) {
  const error = ServeError.from(this.error, ErrorKind.Internal);
  assert.deepEqual([error.kind, error.outcome], [ErrorKind.Overloaded, outcome]);
});

Then(
  "about half as many were admitted as with 8 upstreams of the first service",
  function (this: OwnersWorld) {
    const baseline = countAdmitted(8);
    assert.ok(
      Math.abs(2 * this.admitted - baseline) <= TOLERANCE,
      `${this.admitted} of ${baseline}`,
    );
  },
);

Given(
  "2 upstreams of a service and an instance with 3 submissions that wait",
  function (this: OwnersWorld) {
    const parts = createParts({ first: 2 }, ["other"]);
    this.pools = parts.stagePools;
    this.reports = [];
    this.pools.onReport((report) => this.reports.push(report));
    // Two full calls are in progress; the others wait.
    for (let index = 0; index < 5; index += 1) {
      const pieces = index < 2 ? CAPACITY.maxPieces : 1;
      this.pools.submit(submissionOf({ attemptId: `r${index}`, pieces }), "self");
    }
  },
);

When("the instance is about to stop", function (this: OwnersWorld) {
  this.pools.handOver();
});

Then("the {int} submissions are reported as moved", function (this: OwnersWorld, count: number) {
  const moved = this.reports.filter(({ outcome }) => outcome.kind === "moved");
  assert.equal(moved.length, count);
  assert.equal(this.reports.length, count);
});

Then("a further submission of another instance is declined", function (this: OwnersWorld) {
  assert.throws(
    () => this.pools.submit(submissionOf({ attemptId: "r9" }), "other"),
    (error) => error instanceof ServeError && error.kind === ErrorKind.NotReady,
  );
});

When(
  "an owner of two pools of a service fills the memory of its upstreams twice, with a release between",
  async function (this: OwnersWorld) {
    let sequence = 0;
    const parts = createParts({ first: 16 }, [], {
      call: (entry, pieces) => {
        const results = pieces.map(() => {
          sequence += 1;
          return { kind: "made", handle: `${entry.id}/${sequence}` } as const;
        });
        return Promise.resolve({ kind: "results", results });
      },
      release: (handles, onReleased) => {
        handles.forEach(onReleased);
      },
    });
    this.reports = [];
    parts.stagePools.onReport((report) => this.reports.push(report));
    const perShard = [0, 0];
    for (let index = 0; perShard.some((count) => count < 16); index += 1) {
      const attemptId = `r${index}`;
      const shard = shardOf(attemptId, 16);
      const count = perShard[shard] ?? 0;
      if (count >= 16) continue;
      perShard[shard] = count + 1;
      const submission = submissionOf({ attemptId, pieces: 10, resultBytes: 100_000 });
      parts.stagePools.submit(submission, "self");
    }
    await parts.timers.advance(300);
    for (const { outcome } of this.reports)
      if (outcome.kind === "made") parts.stagePools.release("first", outcome.handles);
    await parts.timers.advance(300);
  },
);

Then("all its submissions are done before results expire", function (this: OwnersWorld) {
  const made = this.reports.filter(({ outcome }) => outcome.kind === "made");
  assert.equal(made.length, 32);
});
