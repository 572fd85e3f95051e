import type { ResponseAttributes } from "./response-attributes.js";
import type { DecisionLines } from "./decision-lines.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealth } from "./upstream-health.js";

/** Records the availability that a response states, and logs when the upstream closes. */
export function recordAvailability(
  decisionLines: DecisionLines,
  { id, service }: Pick<UpstreamEntry, "id" | "service">,
  health: UpstreamHealth,
  attributes: Pick<ResponseAttributes, "leaving" | "stayAwayMs">,
): void {
  const previousMs = health.availableInMs;
  health.recordAvailability(attributes);
  if (previousMs > 0 || health.availableInMs === 0) return;
  const { leaving, stayAwayMs } = attributes;
  decisionLines.write("upstream closed", { upstream: id, service, leaving, stayAwayMs });
}
