import type { DecisionLines } from "../forward/decision-lines.js";
import type { ForwardMetrics } from "../forward/forward-metrics.js";
import type { LossReason } from "./loss-reason.js";

interface Parts {
  readonly decisionLines: Pick<DecisionLines, "write">;
  readonly forwardMetrics: Pick<ForwardMetrics, "recordCallerLoss">;
}

/** Logs and counts what callers lose so that memory and descriptors stay bounded. */
export class CallerLosses {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): CallerLosses {
    return new CallerLosses(parts);
  }

  /** `team` is empty if none is known. */
  record(reason: LossReason, team: string): void {
    this.parts.forwardMetrics.recordCallerLoss(reason, team);
    this.parts.decisionLines.write("caller limited", { reason, team });
  }
}
