import { setMaxListeners } from "node:events";
import { stageCostMs } from "../src/admission/stage-cost.js";
import type { Work } from "../src/admission/work.js";
import type { Configuration } from "../src/configuration/configuration.js";
import type { Stage } from "../src/configuration/configuration-document.js";
import { ranksInOrder } from "../src/configuration/rank.js";
import { ServiceKind } from "../src/configuration/service-kind.js";
import { ErrorKind } from "../src/error/error-kind.js";
import { ServeError } from "../src/error/serve-error.js";
import type { ServeRequest } from "../src/pipeline/serve-request.js";
import type { ManualTimers } from "../src/time/manual-timers.js";
import type { Arrival } from "./arrivals.js";
import type { BenchFleet } from "./fleet.js";
import type { BenchInstance } from "./instance.js";

const MOST_ATTEMPTS = 3;
const never = new AbortController().signal;
// All waiting requests of a run share the signal.
setMaxListeners(0, never);

/** How a request of the bench ended. */
export type Ending = "in-time" | "late" | "refused" | "failed";

/** Passes one request through its stages; the bench's counterpart of a pipeline run. */
export async function serveRequest(
  arrival: Arrival,
  id: string,
  instance: BenchInstance,
  configuration: Configuration,
  fleet: BenchFleet,
  timers: ManualTimers,
): Promise<Ending> {
  const request = requestOf(arrival, id, configuration, timers.now());
  let withdraw: () => void;
  try {
    withdraw = instance.admit(request);
  } catch {
    return "refused";
  }
  const progress = { dispatched: false };
  for (const stage of request.pipeline.stages) {
    try {
      await runStage(request, stage, arrival, instance, configuration, fleet, timers, () => {
        progress.dispatched = true;
      });
    } catch (error) {
      withdraw();
      const late = timers.now() >= request.deadline;
      if (!progress.dispatched && error instanceof ServeError && !late) return "refused";
      return late ? "late" : "failed";
    }
  }
  return timers.now() <= request.deadline ? "in-time" : "late";
}

async function runStage(
  request: ServeRequest,
  stage: Stage,
  arrival: Arrival,
  instance: BenchInstance,
  configuration: Configuration,
  fleet: BenchFleet,
  timers: ManualTimers,
  dispatched: () => void,
): Promise<void> {
  const service = configuration.service(stage.service);
  if (service === undefined) throw new Error(`no service ${stage.service}`);
  const excluded = new Set<string>();
  const { rank } = arrival;
  const work: Work = {
    request: request.id,
    team: request.team,
    className: request.workClass.name,
    rank,
    stage: stage.name,
    costMs: stageCostMs(service.kind, request.input),
    deadline: request.deadline,
    prompt: service.kind === ServiceKind.Generate ? arrival.prefix : "",
    contentDigest: request.contentDigest,
    excluded,
  };
  for (let attempt = 1; ; attempt++) {
    const slot = await instance.pool(stage.service).acquire(work, never);
    dispatched();
    if (attempt === 1) {
      instance.retryBudget.recordFirstAttempt();
      instance.attempts.first += 1;
    } else instance.attempts.extra += 1;
    fleet.started.add(request.id);
    const start = timers.now();
    const { delayMs } = configuration.link(instance.dataCentre, slot.upstream.dataCentre);
    if (delayMs > 0) await timers.sleep(delayMs);
    const succeeded = await new Promise<boolean>((done) => {
      const { tokens, prefix } = arrival;
      fleet.of(slot.upstream).start({ tokens, prefix, priority: ranksInOrder.indexOf(rank), done });
    });
    if (delayMs > 0) await timers.sleep(delayMs);
    const durationMs = timers.now() - start;
    if (succeeded) {
      slot.release({ kind: "succeeded", durationMs, firstByteMs: durationMs });
      return;
    }
    slot.release({ kind: "failed", error: ErrorKind.UpstreamFailed, durationMs });
    excluded.add(slot.upstream.id);
    const late = timers.now() >= request.deadline;
    const last = !service.idempotent || attempt >= MOST_ATTEMPTS || late;
    if (last || !instance.retryBudget.takeRetry()) {
      throw ServeError.create(ErrorKind.UpstreamFailed, `${stage.name} failed`);
    }
  }
}

function requestOf(
  arrival: Arrival,
  id: string,
  configuration: Configuration,
  now: number,
): ServeRequest {
  const pipeline = configuration.pipeline(arrival.pipeline);
  const workClass = configuration.workClass(arrival.rank);
  if (pipeline === undefined || workClass === undefined) throw new Error("unknown pipeline");
  return {
    id,
    team: arrival.team,
    pipeline,
    workClass,
    input: { text: arrival.prefix, maxTokens: arrival.tokens },
    arrival: now,
    deadline: now + workClass.target.timeMs,
    contentDigest: id,
    idempotencyKey: undefined,
  };
}
