import type { ConsolaInstance } from "consola";
import { DecisionLines } from "../../src/forward/decision-lines.js";
import { RetryBudget } from "../../src/forward/retry-budget.js";
import { RouteView } from "../../src/forward/route-view.js";
import type { StageCaller } from "../../src/forward/stage-caller.js";
import { StageLoads } from "../../src/forward/stage-loads.js";
import { StageOwners } from "../../src/forward/stage-owners.js";
import { StagePools } from "../../src/forward/stage-pools.js";
import type { StageSubmission } from "../../src/forward/stage-submission.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { MemberState } from "../../src/peer/member-state.js";
import type { Members } from "../../src/peer/members.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { configurationOf, entryOf } from "./forward-samples.js";
import { MemoryPeers } from "./memory-peers.js";

/** Capacity of the services `first` and `later`. */
export const CAPACITY = {
  maxCalls: 1,
  maxPieces: 10,
  baseCallMs: 200,
  pieceMs: 20,
  resultBytes: 1_000_000,
  ttlMs: 4_000,
};
const ALLOWED_MS = 1_000;

/** A submission of one urgent piece to the service `first`. */
export function submissionOf(fields: Partial<StageSubmission>): StageSubmission {
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

/** Parts of an instance with upstreams by service and the other instances `peers`. */
export function createParts(
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
