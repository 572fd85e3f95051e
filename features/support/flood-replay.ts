import { AdmittedBacklog } from "../../src/forward/admitted-backlog.js";
import type { ServiceDefinition } from "../../src/forward/service-definition.js";
import { admitStages } from "../../src/forward/stage-admission.js";
import { StageLoads } from "../../src/forward/stage-loads.js";
import type { StageSubmission } from "../../src/forward/stage-submission.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { StageBench } from "./stage-bench.js";

const UPSTREAMS = 3;
const FIRST = { maxPieces: 60, baseCallMs: 400, pieceMs: 5 };
const SECOND = { maxPieces: 20, baseCallMs: 200, pieceMs: 8 };
const SECOND_PIECES = 4;
const RANK = 6;
const TARGET_MS = 4_000;
const LEFT_MS = 8_000;
const RESULT_TTL_MS = 4_000;
const STEP_MS = 10;
const REPLAY_MS = 20_000;
/** Length of a replay in seconds. */
export const REPLAY_S = REPLAY_MS / 1_000;
const BURST = { fromMs: 2_000, toMs: 8_000, factor: 8 };
const BASE_RATE_PER_S = 30;
/** Throughput of the second stage with full calls, in requests per second. */
export const SECOND_STAGE_CAPACITY_PER_S =
  (1_000 * UPSTREAMS * SECOND.maxPieces) /
  (SECOND.baseCallMs + SECOND.maxPieces * SECOND.pieceMs) /
  SECOND_PIECES;

const STAGES = [
  { service: "first", after: [], resultBytes: 0 },
  { service: "second", after: [0], resultBytes: 0 },
];

/** Rule by which requests are admitted. */
export enum FloodPolicy {
  /** All requests are admitted. */
  None = "none",
  /** By the waits that the stages report. */
  Queues = "queues",
  /** By these waits and the admitted work that has not reached the second stage. */
  Backlog = "backlog",
}

/** Outcomes of the requests of a replay. */
export interface FloodFigures {
  readonly refused: number;
  readonly inTarget: number;
  readonly missed: number;
  /** Requests done within their target during the burst. */
  readonly inBurst: number;
}

/** Replays the load, with or without the burst, on a manual clock. */
export async function replayFlood(policy: FloodPolicy, burst: boolean): Promise<FloodFigures> {
  const timers = ManualTimers.create();
  const stages = [
    StageBench.create(UPSTREAMS, FIRST, timers),
    StageBench.create(UPSTREAMS, SECOND, timers),
  ];
  const [first, second] = stages as [StageBench, StageBench];
  const backlog = AdmittedBacklog.create(
    timers,
    () => (SECOND_STAGE_CAPACITY_PER_S * SECOND_PIECES) / 1_000,
  );
  const loads = StageLoads.create({ timers, directory: UpstreamDirectory.create({ timers }) });
  const startedAtMs = new Map<string, number>();
  const firstStageEndMs = new Map<string, number>();
  let [pendingArrivals, sequence, refused, inTarget, missed, inBurst] = [0, 0, 0, 0, 0, 0];
  const submission = (id: string, stage: number): Partial<StageSubmission> => {
    const ageMs = timers.now() - (startedAtMs.get(id) ?? timers.now());
    return {
      attemptId: id,
      stage,
      rank: RANK,
      pieces: stage === 0 ? 1 : SECOND_PIECES,
      targetLeftMs: TARGET_MS - ageMs,
      leftMs: LEFT_MS - ageMs,
    };
  };
  const arrive = (): void => {
    const admission = admitStages({
      stages: STAGES,
      pieces: [1, SECOND_PIECES],
      services: serviceDefinitions(),
      waitMs: ({ service }) => loads.waitMs(service, "any", RANK, 0),
      targetLeftMs: TARGET_MS,
    });
    const exceedsTarget =
      admission.kind === "refused" ||
      (policy === FloodPolicy.Backlog && backlog.waitMs("second", RANK) > admission.allowedMs);
    if (policy !== FloodPolicy.None && exceedsTarget) {
      refused += 1;
      return;
    }
    sequence += 1;
    const id = `f${sequence}`;
    startedAtMs.set(id, timers.now());
    backlog.add("second", RANK, SECOND_PIECES);
    const ticket = first.submit(submission(id, 0));
    if (ticket.waits !== undefined) loads.record("first", id, ticket.waits);
  };
  for (let elapsedMs = 0; elapsedMs < REPLAY_MS; elapsedMs += STEP_MS) {
    const duringBurst = burst && elapsedMs >= BURST.fromMs && elapsedMs < BURST.toMs;
    pendingArrivals += (BASE_RATE_PER_S * (duringBurst ? BURST.factor : 1) * STEP_MS) / 1_000;
    for (; pendingArrivals >= 1; pendingArrivals -= 1) arrive();
    await timers.advance(STEP_MS);
    for (const { submission: submitted } of first.reports.splice(0)) {
      firstStageEndMs.set(submitted.attemptId, timers.now());
      const ticket = second.submit(submission(submitted.attemptId, 1));
      if (ticket.waits !== undefined) loads.record("second", submitted.attemptId, ticket.waits);
      if (ticket.kind === "refused") missed += 1;
    }
    for (const { submission: submitted, outcome } of second.reports.splice(0)) {
      const requestStartMs = startedAtMs.get(submitted.attemptId) ?? 0;
      const inputsRetained =
        timers.now() - (firstStageEndMs.get(submitted.attemptId) ?? 0) < RESULT_TTL_MS;
      const served =
        outcome.kind === "made" && inputsRetained && timers.now() - requestStartMs < TARGET_MS;
      if (served) inTarget += 1;
      else missed += 1;
      if (served && elapsedMs >= BURST.fromMs && elapsedMs < BURST.toMs) inBurst += 1;
    }
  }
  return { refused, inTarget, missed, inBurst };
}

function serviceDefinitions(): ReadonlyMap<string, ServiceDefinition> {
  const stage = { maxCalls: 1, resultBytes: 1_000_000_000, ttlMs: RESULT_TTL_MS };
  return new Map([
    ["first", { name: "first", stage: { ...stage, ...FIRST } }],
    ["second", { name: "second", stage: { ...stage, ...SECOND } }],
  ]);
}
