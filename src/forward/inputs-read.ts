import type { Timers } from "../time/timers.js";
import type { RetryBudget } from "./retry-budget.js";
import { isRepeatable, type Route } from "./route.js";
import type { StageInputs } from "./stage-inputs.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";

/** Slot utilization of an engine up to which it starts a request immediately. */
const MAX_UTILIZATION = 0.5;
/** Time in which an engine with free slots reads the stage results; several transfers. */
const INPUTS_READ_DELAY_MS = 120;

interface Parts {
  readonly timers: Timers;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly directory: UpstreamDirectory;
  readonly retryBudget: RetryBudget;
}

interface SentInputs {
  readonly route: Route;
  readonly inputs: StageInputs | undefined;
  readonly entry: UpstreamEntry;
}

/** Calls back when an engine that reads the stage results at once has done so. */
export function scheduleInputsRead(parts: Parts, sent: SentInputs, onRead: () => void): void {
  if (readsInputsAtOnce(parts, sent)) parts.timers.after(INPUTS_READ_DELAY_MS, onRead);
}

/** Whether an engine has free slots, and so reads the stage results as soon as a request arrives. */
function readsInputsAtOnce(
  { upstreamHealth, directory, retryBudget }: Parts,
  { route, inputs, entry: { id, slots } }: SentInputs,
): boolean {
  // A repeatable request needs the results again when it is retried.
  if ((inputs?.handles.length ?? 0) === 0 || isRepeatable(route)) return false;
  const utilization = upstreamHealth.of(id).inFlight / Math.max(1, slots);
  return (
    utilization * retryBudget.instanceCount <= MAX_UTILIZATION &&
    directory.remainingWarmupMs(id) <= 0
  );
}
