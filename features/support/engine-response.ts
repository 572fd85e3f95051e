import type { UpstreamEntry } from "../../src/forward/upstream-entry.js";
import type { Permit } from "../../src/limit/permit.js";
import type { LimitInstance } from "./limit-instance.js";

/** An instance receives a response that states for how long the engine stays cold. */
export function respond(
  instance: LimitInstance,
  entry: UpstreamEntry,
  permit: Permit | undefined,
  remainingWarmupMs: number | undefined,
): void {
  const stated = remainingWarmupMs === undefined ? {} : { remainingWarmupMs };
  const availability = { misdirected: false, leaving: false, stayAwayMs: 0 };
  const limits = { requestsPerSecond: undefined, toleratedRejections: undefined };
  const health = instance.healthOf(entry.id);
  health.recordSuccess(1);
  const attributes = { ...availability, ...limits, ...stated };
  instance.statements.recordResponse(entry, health, attributes, permit);
}
