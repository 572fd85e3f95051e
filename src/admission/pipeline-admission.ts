import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { DecisionLog } from "../decision/decision-log.js";
import type { ServeRequest } from "../pipeline/serve-request.js";
import type { Timers } from "../time/timers.js";
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

/** Decides at intake whether a request can pass all stages of its pipeline in time. */
export class PipelineAdmission {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): PipelineAdmission {
    return new PipelineAdmission(parts);
  }

  /**
   * Admits a request and counts it at each of its stages. Throws `DeadlineUnreachable` or
   * `Overloaded` with outcome `not-run` if it cannot be served, `NoUpstream` if a service is
   * missing. Must be called before the first stage is dispatched. The returned function takes back
   * what the request still holds at stages that it did not reach; it is called when the request ends.
   */
  admit(request: ServeRequest): () => void {
    const { timers, pools, configurationView, decisionLog } = this.parts;
    const stages = request.pipeline.stages.map((stage) => {
      const kind = configurationView.configuration?.service(stage.service)?.kind;
      const pool = pools.of(stage.service);
      const costMs = kind === undefined ? 0 : stageCostMs(kind, request.input);
      return { pool, work: workOf(request, stage.name, costMs) };
    });
    const offers = stages.map((stage) => ({ ...stage, tier: stage.pool.offer(stage.work) }));
    const estimates = offers.map(({ pool, work, tier }) => pool.estimate(work, tier));
    const first = stages[0]?.work;
    if (first === undefined) return () => undefined;
    const { className, stage } = first;
    const head = { request: request.id, team: request.team, className, stage };
    const refused = refusal(first, request.deadline - timers.now(), estimates);
    if (refused !== undefined) {
      const retryAfterMs = Math.round(refused.retryAfterMs ?? 0);
      decisionLog.write({ kind: "refuse", ...head, reason: refused.kind, retryAfterMs });
      throw refused;
    }
    for (const { pool, work, tier } of offers) pool.reserve(work, tier);
    const waitMs = Math.round(Math.max(...estimates.map((estimate) => estimate.waitMs)));
    decisionLog.write({ kind: "admit", ...head, waitMs, reason: "in-time" });
    return () => {
      for (const { pool, work } of offers) pool.withdraw(work);
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
