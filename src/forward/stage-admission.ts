import type { ServiceDefinition } from "./service-definition.js";
import type { StageDefinition } from "./stage-definition.js";
import { ENGINE_MS } from "./stage-pace.js";

/** Part of the slack that waits may take; the rest covers arrivals that are not known yet. */
const SLACK_PART = 0.75;
/** Wait that is always allowed: about one call. Shorter queues drain before a caller returns. */
const LEAST_ALLOWED_MS = 500;
/** Shortest time that a caller is told to stay away. */
const LEAST_RETRY_MS = 300;

/** What an admission decision knows. */
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
 * Admits a request if its waits at all its stages leave room for its target. Answers the load
 * pattern of a flood beyond what the scarcest stage can serve: requests that would be late take
 * calls from those that would not, and lose the work of their first stages.
 */
export function admitStages(input: AdmissionInput): Admission {
  const paths = input.stages.map((_, at) => pathTo(input, at));
  const longest = paths.reduce((a, b) => (total(b) > total(a) ? b : a), { waitMs: 0, workMs: 0 });
  const slackMs = input.targetLeftMs - longest.workMs - ENGINE_MS;
  const allowedMs = Math.max(LEAST_ALLOWED_MS, SLACK_PART * slackMs);
  if (longest.waitMs <= allowedMs) return { kind: "admitted", waitMs: longest.waitMs, allowedMs };
  const excessMs = longest.waitMs - allowedMs + LEAST_ALLOWED_MS;
  // A caller that comes back after the target has passed can only be served late.
  const retryAfterMs = Math.min(excessMs, Math.max(LEAST_RETRY_MS, slackMs));
  return { kind: "refused", waitMs: longest.waitMs, retryAfterMs };
}

/** Waits and work until a stage is done. */
function pathTo(input: AdmissionInput, at: number): Path {
  const stage = input.stages[at];
  const pieces = input.pieces[at] ?? 0;
  if (stage === undefined) return { waitMs: 0, workMs: 0 };
  const before = stage.after
    .map((each) => pathTo(input, each))
    .reduce((a, b) => (total(b) > total(a) ? b : a), { waitMs: 0, workMs: 0 });
  if (pieces === 0) return before;
  const capacity = input.services.get(stage.service)?.stage;
  if (capacity === undefined) return before;
  const { callMs, pieceMs, mostPieces } = capacity;
  const waitMs = input.waitMs(stage);
  // While others wait as well, each call is full.
  const inCall = waitMs > 0 ? mostPieces : Math.min(pieces, mostPieces);
  return {
    waitMs: before.waitMs + waitMs,
    workMs: before.workMs + callMs + inCall * pieceMs,
  };
}

function total({ waitMs, workMs }: Path): number {
  return waitMs + workMs;
}
