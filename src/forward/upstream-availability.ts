import type { ResponseAttributes } from "./response-attributes.js";
import type { DecisionLines } from "./decision-lines.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealth } from "./upstream-health.js";

/** Notes what an upstream says of itself in an answer, and logs that it takes no work from now on. */
export function recordAvailability(
  decisionLines: DecisionLines,
  { id, service }: UpstreamEntry,
  standing: UpstreamHealth,
  attributes: ResponseAttributes,
): void {
  const previousMs = standing.availableInMs;
  standing.recordAvailability(attributes);
  if (previousMs > 0 || standing.availableInMs === 0) return;
  const { leaving, stayAwayMs } = attributes;
  decisionLines.write("upstream closed", { upstream: id, service, leaving, stayAwayMs });
}
