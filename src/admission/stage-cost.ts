import { ServiceKind } from "../configuration/service-kind.js";
import type { RequestInput } from "../pipeline/request-input.js";

const CALL_COST_MS = 50;
const PREFILL_COST_MS = 50;
const TOKEN_COST_MS = 5;

/** First estimate of a stage's service time in ms; pools correct it by measured results. */
export function stageCostMs(kind: ServiceKind, input: Pick<RequestInput, "maxTokens">): number {
  switch (kind) {
    case ServiceKind.Generate:
      return PREFILL_COST_MS + input.maxTokens * TOKEN_COST_MS;
    case ServiceKind.Encode:
    case ServiceKind.Retrieve:
    case ServiceKind.Rerank:
    case ServiceKind.Call:
      return CALL_COST_MS;
  }
}
