import type { AnswerAttributes } from "./answer-attributes.js";
import type { DecisionLines } from "./decision-lines.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamStanding } from "./upstream-standing.js";

/** Notes what an upstream says of itself in an answer, and logs that it takes no work from now on. */
export function noteWord(
  decisionLines: DecisionLines,
  { id, service }: UpstreamEntry,
  standing: UpstreamStanding,
  attributes: AnswerAttributes,
): void {
  const closedMs = standing.opensInMs;
  standing.told(attributes);
  if (closedMs > 0 || standing.opensInMs === 0) return;
  const { leaving, stayAwayMs } = attributes;
  decisionLines.write("upstream closed", { upstream: id, service, leaving, stayAwayMs });
}
