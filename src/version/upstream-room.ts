import { MAX_UTILIZATION } from "../forward/engine-selection.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { UpstreamHealth } from "../forward/upstream-health.js";

/** Whether this instance would send a request to an upstream rather than to the next one. */
export function hasRoom(entry: UpstreamEntry, health: UpstreamHealth): boolean {
  if (health.unavailable || health.backingOff) return false;
  return health.inFlight < MAX_UTILIZATION * entry.slots;
}
