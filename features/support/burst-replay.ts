import { FirstStageAdmission } from "../../src/congestion/first-stage-admission.js";
import type { ServiceDefinition } from "../../src/forward/service-definition.js";
import { admitStages } from "../../src/forward/stage-admission.js";
import { StageLoads } from "../../src/forward/stage-loads.js";
import type { StageTicket } from "../../src/forward/stage-outcome.js";
import type { StageSubmission } from "../../src/forward/stage-submission.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { CALL_FILL_FRACTION } from "../../src/forward/stage-timing.js";
import { StageBench } from "./stage-bench.js";

const UPSTREAMS = 3;
const CAPACITY = { maxPieces: 14, baseCallMs: 200, pieceMs: 12 };
/** Time of an engine until its first event. */
const ENGINE_MS = 250;
const SUBMITTERS = 30;
const STEP_MS = 10;
const REPLAY_MS = 12_000;
/** The second stage has two pieces for each of the first. */
const SECOND_PIECES = 2;

/** Load of one rank in requests of two pieces. */
export interface ReplayedClass {
  readonly rank: number;
  readonly perSecond: number;
  /** Factor of the rate from 2 to 6 s, and once more from 3 to 8 s. */
  readonly burst: readonly [number, number];
  readonly targetMs: number;
  readonly leftMs: number;
}

/** What became of the requests of one rank that arrived during the bursts. */
export interface ReplayedFigures {
  asked: number;
  refused: number;
  inTime: number;
  late: number;
  /** Ended after work had been done for them, without an answer. */
  wasted: number;
}

/** Requests a second that a stage serves with full calls of its requests' pieces. */
export function capacityPerSecond(pieces: number): number {
  const fullMs = CAPACITY.baseCallMs + CAPACITY.maxPieces * CAPACITY.pieceMs;
  return (1_000 * UPSTREAMS * CAPACITY.maxPieces) / fullMs / pieces;
}

/**
 * Replays bursts of requests of one or two stages that many instances submit to one owner. The
 * second stage takes `slowdown` times as long as configured.
 */
export async function replayBursts(
  classes: readonly ReplayedClass[],
  stages: 1 | 2,
  slowdown = 1,
): Promise<ReadonlyMap<number, ReplayedFigures>> {
  const timers = ManualTimers.create();
  const first = StageBench.create(UPSTREAMS, CAPACITY, timers);
  const second = StageBench.create(UPSTREAMS, CAPACITY, timers);
  const slowMs = slowdown * CAPACITY.baseCallMs;
  const fullMs = CAPACITY.baseCallMs + CAPACITY.maxPieces * CAPACITY.pieceMs;
  const latencyRatio = 1 + (slowMs - CAPACITY.baseCallMs) / fullMs;
  for (const dataCentre of ["a", "b", "c"]) {
    second.callMsByDataCentre.set(dataCentre, slowMs);
    second.healthOf(dataCentre).recordSuccess(latencyRatio);
  }
  const directory = UpstreamDirectory.create({ timers });
  const loads = Array.from({ length: SUBMITTERS }, () => StageLoads.create({ timers, directory }));
  const admission = FirstStageAdmission.create({
    timers,
    upstreams: () => UPSTREAMS,
    piecesPerMs: () => (CALL_FILL_FRACTION * capacityPerSecond(1)) / 1_000 / latencyRatio,
  });
  const definitions = [
    { service: "first", after: [], resultBytes: 0 },
    { service: "second", after: [0], resultBytes: 0 },
  ].slice(0, stages);
  const figures = new Map<number, ReplayedFigures>(
    classes.map(({ rank }) => [rank, { asked: 0, refused: 0, inTime: 0, late: 0, wasted: 0 }]),
  );
  const requests = new Map<string, { load: ReplayedClass; startMs: number; counted: boolean }>();
  const count = (id: string, kind: Exclude<keyof ReplayedFigures, "asked">): void => {
    const request = requests.get(id);
    const figure = figures.get(request?.load.rank ?? -1);
    if (request?.counted === true && figure !== undefined) figure[kind] += 1;
  };
  const record = (id: string, service: string, ticket: StageTicket): void => {
    const submitter = loads[Number(id.slice(1)) % SUBMITTERS];
    if (ticket.waits !== undefined) submitter?.record(service, id, ticket.waits);
  };
  const arrive = (load: ReplayedClass, id: string, counted: boolean): void => {
    requests.set(id, { load, startMs: timers.now(), counted });
    const figure = figures.get(load.rank);
    if (counted && figure !== undefined) figure.asked += 1;
    const submitter = loads[Number(id.slice(1)) % SUBMITTERS];
    const decision = admitStages({
      stages: definitions,
      pieces: [2, 2 * SECOND_PIECES],
      services: services(),
      waitMs: ({ service }) => submitter?.waitMs(service, id, load.rank, 0) ?? 0,
      targetLeftMs: load.targetMs,
    });
    if (decision.kind === "refused") {
      count(id, "refused");
      return;
    }
    const wait = submitter?.reported("second", id, load.rank, 0);
    const later = { service: "second", pieces: 2 * SECOND_PIECES, ...(wait && { wait }) };
    const submission = {
      ...stageFields(id, load, 0, 0),
      allowedMs: decision.allowedMs,
      first: true,
      afterMs: stages === 2 ? CAPACITY.baseCallMs : 0,
      later: stages === 2 ? [later] : [],
    };
    const whole = { ...submission, service: "first", run: 0, resultBytes: 0, movedBytes: 0 };
    const ticket = first.submit(submission, (ownMs) => admission.waitMs(whole, ownMs));
    record(id, "first", ticket);
    if (ticket.kind === "accepted") admission.recordAccepted(whole);
    else count(id, "refused");
  };
  const end = (id: string): void => {
    const request = requests.get(id);
    if (request === undefined) return;
    const ms = timers.now() - request.startMs + ENGINE_MS;
    count(id, ms <= request.load.targetMs ? "inTime" : "late");
  };
  const pending = classes.map(() => 0);
  let sequence = 0;
  for (let elapsedMs = 0; elapsedMs < REPLAY_MS; elapsedMs += STEP_MS) {
    for (const [index, load] of classes.entries()) {
      const one = elapsedMs >= 2_000 && elapsedMs < 6_000 ? load.burst[0] : 1;
      const other = elapsedMs >= 3_000 && elapsedMs < 8_000 ? load.burst[1] : 1;
      const due = (pending[index] ?? 0) + (load.perSecond * one * other * STEP_MS) / 1_000;
      for (let left = due; left >= 1; left -= 1) {
        sequence += 1;
        arrive(load, `q${sequence}`, elapsedMs >= 2_000 && elapsedMs < 8_000);
      }
      pending[index] = due % 1;
    }
    await timers.advance(STEP_MS);
    for (const { submission, outcome } of first.reports.splice(0)) {
      const { attemptId } = submission;
      const request = requests.get(attemptId);
      if (outcome.kind !== "made") count(attemptId, "wasted");
      else if (stages === 1) end(attemptId);
      else if (request !== undefined) {
        const ageMs = timers.now() - request.startMs;
        const ticket = second.submit(stageFields(attemptId, request.load, 1, ageMs));
        record(attemptId, "second", ticket);
        if (ticket.kind === "refused") count(attemptId, "wasted");
      }
    }
    for (const { submission, outcome } of second.reports.splice(0)) {
      if (outcome.kind === "made") end(submission.attemptId);
      else count(submission.attemptId, "wasted");
    }
  }
  return figures;
}

function stageFields(attemptId: string, load: ReplayedClass, stage: number, ageMs: number) {
  return {
    attemptId,
    stage,
    rank: load.rank,
    pieces: stage === 0 ? 2 : 2 * SECOND_PIECES,
    targetLeftMs: load.targetMs - ageMs,
    leftMs: load.leftMs - ageMs,
  } satisfies Partial<StageSubmission>;
}

function services(): ReadonlyMap<string, ServiceDefinition> {
  const stage = { ...CAPACITY, maxCalls: 1, resultBytes: 1_000_000_000, ttlMs: 4_000 };
  return new Map(["first", "second"].map((name) => [name, { name, stage }]));
}
