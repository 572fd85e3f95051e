import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { DecisionLog } from "../decision/decision-log.js";
import type { ServeRequest } from "../pipeline/serve-request.js";
import type { Timers } from "../time/timers.js";
import type { Estimate } from "./estimate.js";
import { refusal } from "./refusal.js";
import type { ServicePools } from "./service-pools.js";
import { stageCostMs } from "./stage-cost.js";
import type { Work } from "./work.js";

interface Parts {
  readonly configurationView: ConfigurationView;
  readonly decisionLog: DecisionLog;
  readonly timers: Timers;
  readonly pools: ServicePools;
}

/** Decides on arrival whether a request can finish all stages of its pipeline by its deadline. */
export class PipelineAdmission {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): PipelineAdmission {
    return new PipelineAdmission(parts);
  }

  /**
   * Admits a request and reserves its work at each stage. Throws `DeadlineExceeded`,
   * `DeadlineUnreachable` or `Overloaded` with outcome `not-run` if it cannot be served, and
   * `NoUpstream` if a service is not configured. Must be called before the first stage is
   * dispatched. The caller runs the returned function when the request ends; it cancels the
   * reservations at stages that the request did not reach.
   */
  admit(request: ServeRequest): () => void {
    const { timers, pools, configurationView, decisionLog } = this.parts;
    const stages = request.pipeline.stages.map((stage) => {
      const kind = configurationView.configuration?.service(stage.service)?.kind;
      const pool = pools.of(stage.service);
      const costMs = kind === undefined ? 0 : stageCostMs(kind, request.input);
      return { pool, work: workOf(request, stage.name, costMs) };
    });
    const offeredStages = stages.map((stage) => ({
      ...stage,
      tier: stage.pool.recordOffered(stage.work),
    }));
    const estimate = (): Estimate[] =>
      offeredStages.map(({ pool, work, tier }) => pool.estimate(work, tier));
    let estimates = estimate();
    const first = stages[0]?.work;
    if (first === undefined) return () => undefined;
    const { className, stage } = first;
    const commonFields = { request: request.id, team: request.team, className, stage };
    const leftMs = request.deadline - timers.now();
    let refused = refusal(first, leftMs, estimates);
    // Times of an overload that has passed would refuse all work, and stay as none runs.
    if (refused !== undefined && stages.filter(({ pool }) => pool.forgetOutdated()).length > 0) {
      estimates = estimate();
      refused = refusal(first, leftMs, estimates);
    }
    if (refused !== undefined) {
      const retryAfterMs = Math.round(refused.retryAfterMs ?? 0);
      decisionLog.write({ kind: "refuse", ...commonFields, reason: refused.kind, retryAfterMs });
      throw refused;
    }
    for (const { pool, work, tier } of offeredStages) pool.reserve(work, tier);
    const waitMs = Math.round(Math.max(...estimates.map((estimate) => estimate.waitMs)));
    decisionLog.write({ kind: "admit", ...commonFields, waitMs, reason: "in-time" });
    return () => {
      for (const { pool, work } of offeredStages) pool.cancelReservation(work);
    };
  }
}

function workOf(request: ServeRequest, stage: string, costMs: number): Work {
  return {
    request: request.id,
    team: request.team,
    className: request.workClass.name,
    rank: request.workClass.rank,
    stage,
    costMs,
    deadline: request.deadline,
    prompt: "",
    contentDigest: request.contentDigest,
    excluded: new Set(),
  };
}
