import { allowedWaitMs } from "../congestion/wait-bound.js";
import type { ServiceDefinition } from "./service-definition.js";
import type { StageDefinition } from "./stage-definition.js";
import { ENGINE_FIRST_EVENT_MS } from "./stage-timing.js";

/** Added to the retry delay, as the reports on waits are some time old. */
const RETRY_RESERVE_MS = 500;
/** Lower bound of the retry delay sent to callers. */
const MIN_RETRY_AFTER_MS = 300;

/** Input of an admission decision. */
export interface AdmissionInput {
  readonly stages: readonly StageDefinition[];
  /** Pieces of each stage. */
  readonly pieces: readonly number[];
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  /** Wait of pieces at a stage in ms. */
  readonly waitMs: (stage: StageDefinition) => number;
  /** Time until the target of the request in ms. */
  readonly targetLeftMs: number;
}

/** Whether a request should start its stages now. */
export type Admission =
  /** `allowedMs` is the longest wait with which the target can still be met. */
  | { readonly kind: "admitted"; readonly waitMs: number; readonly allowedMs: number }
  | { readonly kind: "refused"; readonly waitMs: number; readonly retryAfterMs: number };

interface Path {
  readonly waitMs: number;
  readonly workMs: number;
}

/**
 * Admits a request if it can meet its target after the waits at all its stages. When the slowest
 * stage is overloaded, requests that will be late would otherwise take calls from requests that
 * can be in time, and waste the work of their first stages.
 */
export function admitStages(input: AdmissionInput): Admission {
  const paths = input.stages.map((_, index) => longestPathTo(input, index));
  const longest = paths.reduce((a, b) => (totalMs(b) > totalMs(a) ? b : a), {
    waitMs: 0,
    workMs: 0,
  });
  const slackMs = input.targetLeftMs - longest.workMs - ENGINE_FIRST_EVENT_MS;
  const allowedMs = allowedWaitMs(slackMs);
  if (longest.waitMs <= allowedMs) return { kind: "admitted", waitMs: longest.waitMs, allowedMs };
  const excessMs = longest.waitMs - allowedMs + RETRY_RESERVE_MS;
  // A caller that retries after the target has passed can only be served late.
  const retryAfterMs = Math.min(excessMs, Math.max(MIN_RETRY_AFTER_MS, slackMs));
  return { kind: "refused", waitMs: longest.waitMs, retryAfterMs };
}

/** Longest path, by wait plus work, through the stages that end with this one. */
function longestPathTo(input: AdmissionInput, index: number): Path {
  const stage = input.stages[index];
  const pieces = input.pieces[index] ?? 0;
  if (stage === undefined) return { waitMs: 0, workMs: 0 };
  const preceding = stage.after
    .map((each) => longestPathTo(input, each))
    .reduce((a, b) => (totalMs(b) > totalMs(a) ? b : a), { waitMs: 0, workMs: 0 });
  if (pieces === 0) return preceding;
  const capacity = input.services.get(stage.service)?.stage;
  if (capacity === undefined) return preceding;
  const { baseCallMs, pieceMs, maxPieces } = capacity;
  const waitMs = input.waitMs(stage);
  // While other pieces wait, calls are full and take the time of a full call.
  const callPieces = waitMs > 0 ? maxPieces : Math.min(pieces, maxPieces);
  return {
    waitMs: preceding.waitMs + waitMs,
    workMs: preceding.workMs + baseCallMs + callPieces * pieceMs,
  };
}

function totalMs({ waitMs, workMs }: Path): number {
  return waitMs + workMs;
}
