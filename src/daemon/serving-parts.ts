import { DemandMeter } from "../admission/demand-meter.js";
import { PipelineAdmission } from "../admission/pipeline-admission.js";
import { ServicePools } from "../admission/service-pools.js";
import { AnswerFinder } from "../caller/answer-finder.js";
import { AnswerLog } from "../caller/answer-log.js";
import { AnswerReads } from "../caller/answer-reads.js";
import { CallerServer } from "../caller/caller-server.js";
import { StageCosts } from "../metrics/stage-costs.js";
import { OperatorServer } from "../operator/operator-server.js";
import { RequestIntake } from "../pipeline/request-intake.js";
import { CrashSuspects } from "../routing/crash-suspects.js";
import { Hedges } from "../routing/hedges.js";
import { RetryBudget } from "../routing/retry-budget.js";
import { DroppedAnswers } from "../upstream/dropped-answers.js";
import { HttpUpstreamClients } from "../upstream/http-upstream-clients.js";
import type { UpstreamClients } from "../upstream/upstream-clients.js";
import { asFunction } from "awilix";

/** The parts for requests of callers and operators. */
export interface ServingCradle {
  readonly droppedAnswers: DroppedAnswers;
  readonly retryBudget: RetryBudget;
  readonly hedges: Hedges;
  readonly crashSuspects: CrashSuspects;
  readonly clients: UpstreamClients;
  readonly stageCosts: StageCosts;
  readonly demandSource: DemandMeter;
  readonly pools: ServicePools;
  readonly pipelineAdmission: PipelineAdmission;
  readonly answerLog: AnswerLog;
  readonly answerFinder: AnswerFinder;
  readonly answerReads: AnswerReads;
  readonly requestIntake: RequestIntake;
  readonly callerServer: CallerServer;
  readonly operatorServer: OperatorServer;
}

/** How the parts for requests of callers and operators are made. */
export const servingParts = {
  droppedAnswers: asFunction(() => DroppedAnswers.create()).singleton(),
  retryBudget: asFunction(RetryBudget.create).singleton(),
  hedges: asFunction(Hedges.create).singleton(),
  crashSuspects: asFunction(CrashSuspects.create).singleton(),
  clients: asFunction(HttpUpstreamClients.create).singleton(),
  demandSource: asFunction(DemandMeter.create).singleton(),
  stageCosts: asFunction(StageCosts.create).singleton(),
  pools: asFunction(ServicePools.create).singleton(),
  pipelineAdmission: asFunction(PipelineAdmission.create).singleton(),
  answerLog: asFunction(AnswerLog.create).singleton(),
  answerFinder: asFunction(AnswerFinder.create).singleton(),
  answerReads: asFunction(AnswerReads.create).singleton(),
  requestIntake: asFunction(RequestIntake.create).singleton(),
  callerServer: asFunction(CallerServer.create).singleton(),
  operatorServer: asFunction(OperatorServer.create).singleton(),
};
