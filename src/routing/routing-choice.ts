import type { Candidate } from "../decision/decision.js";
import type { UpstreamRecord } from "./upstream-record.js";

/** A choice of the router. */
export interface RoutingChoice {
  readonly record: UpstreamRecord;
  readonly reason: "best-score" | "prefix-home" | "probe" | "exclusive";
  readonly candidates: readonly Candidate[];
}
