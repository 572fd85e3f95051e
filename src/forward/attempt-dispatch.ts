import type { DispatchAttributes } from "./dispatch-attributes.js";
import { Repeatability } from "./repeatability.js";
import type { RequestContext } from "./request-context.js";
import type { StageInputs } from "./stage-inputs.js";

const MAX_URGENCY = 9;

/** What an attempt that starts at `startedMs` tells the upstream beside the caller's request. */
export function attemptDispatch(
  { route, team, rank, deadlineMs, progress }: RequestContext,
  upstream: string,
  inputs: StageInputs | undefined,
  startedMs: number,
): DispatchAttributes {
  return {
    upstream,
    remainingMs: Math.max(1, Math.floor(deadlineMs - startedMs)),
    team: team?.name,
    inputs: inputs?.handles,
    lastEventId: progress.lastEventId,
    urgency: route.repeatability === Repeatability.Stream ? Math.min(MAX_URGENCY, rank) : undefined,
  };
}
