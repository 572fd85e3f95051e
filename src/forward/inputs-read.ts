import type { RetryBudget } from "./retry-budget.js";
import { isRepeatable, type Route } from "./route.js";
import type { StageInputs } from "./stage-inputs.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";

/** Slot utilization of an engine up to which it starts a request immediately. */
const MAX_UTILIZATION = 0.5;

interface Parts {
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly directory: UpstreamDirectory;
  readonly retryBudget: RetryBudget;
}

/** Whether an engine has free slots, and so reads the stage results as soon as a request arrives. */
export function readsInputsAtOnce(
  { upstreamHealth, directory, retryBudget }: Parts,
  route: Route,
  inputs: StageInputs | undefined,
  { id, slots }: UpstreamEntry,
): boolean {
  // A repeatable request needs the results again when it is retried.
  if ((inputs?.handles.length ?? 0) === 0 || isRepeatable(route)) return false;
  const utilization = upstreamHealth.of(id).inFlight / Math.max(1, slots);
  return (
    utilization * retryBudget.instanceCount <= MAX_UTILIZATION &&
    directory.remainingWarmupMs(id) <= 0
  );
}
