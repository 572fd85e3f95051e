import type { Decision } from "../decision/decision.js";
import type { ServeError } from "../error/serve-error.js";
import type { RoutingChoice } from "../routing/routing-choice.js";
import type { Work } from "./work.js";

/** Decision log entry for refused work. */
export function refuseDecision(work: Work, error: ServeError): Decision {
  const retryAfterMs = Math.round(error.retryAfterMs ?? 0);
  return { kind: "refuse", ...commonFields(work), reason: error.kind, retryAfterMs };
}

/** Decision log entry for the choice of an upstream. */
export function routeDecision(work: Work, { candidates, reason, record }: RoutingChoice): Decision {
  return { kind: "route", ...commonFields(work), candidates, choice: record.upstream.id, reason };
}

function commonFields({ request, team, className, stage }: Work) {
  return { request, team, className, stage };
}
