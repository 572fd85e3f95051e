import type { Decision } from "../decision/decision.js";
import type { ServeError } from "../error/serve-error.js";
import type { RoutingChoice } from "../routing/routing-choice.js";
import type { Work } from "./work.js";

/** Log line of a refusal. */
export function refuseLine(work: Work, error: ServeError): Decision {
  const retryAfterMs = Math.round(error.retryAfterMs ?? 0);
  return { kind: "refuse", ...headOf(work), reason: error.kind, retryAfterMs };
}

/** Log line of a choice of an upstream. */
export function routeLine(work: Work, { candidates, reason, record }: RoutingChoice): Decision {
  return { kind: "route", ...headOf(work), candidates, choice: record.upstream.id, reason };
}

function headOf({ request, team, className, stage }: Work) {
  return { request, team, className, stage };
}
