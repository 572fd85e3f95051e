import { randomInt } from "node:crypto";
import { type AwilixContainer, asFunction, asValue, createContainer } from "awilix";
import type { ConsolaInstance } from "consola";
import { DemandMeter } from "../admission/demand-meter.js";
import type { DemandReports } from "../admission/demand-reports.js";
import { PipelineAdmission } from "../admission/pipeline-admission.js";
import { ServicePools } from "../admission/service-pools.js";
import { SingleInstanceDemand } from "../admission/single-instance-demand.js";
import { AnswerLog } from "../caller/answer-log.js";
import { CallerServer } from "../caller/caller-server.js";
import { ConfigurationFollower } from "../configuration/configuration-follower.js";
import { ConfigurationHistory } from "../configuration/configuration-history.js";
import { ConfigurationView } from "../configuration/configuration-view.js";
import { DecisionLog } from "../decision/decision-log.js";
import { createLogger } from "../decision/logger.js";
import { RequestIntake } from "../pipeline/request-intake.js";
import { DynamoTable } from "../platform/dynamo-table.js";
import type { Table } from "../platform/table.js";
import { RandomSource } from "../random/random-source.js";
import type { Settings } from "../settings/settings.js";
import { SystemTimers } from "../time/system-timers.js";
import type { Timers } from "../time/timers.js";
import { HttpUpstreamClients } from "../upstream/http-upstream-clients.js";
import type { UpstreamClients } from "../upstream/upstream-clients.js";

const SEED_BOUND = 2 ** 31;

/** The parts of a daemon by name. */
export interface Cradle {
  readonly settings: Settings;
  readonly log: ConsolaInstance;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly table: Table;
  readonly decisionLog: DecisionLog;
  readonly configurationView: ConfigurationView;
  readonly configurationHistory: ConfigurationHistory;
  readonly configurationFollower: ConfigurationFollower;
  readonly clients: UpstreamClients;
  readonly demandSource: DemandMeter;
  readonly demandReports: DemandReports;
  readonly pools: ServicePools;
  readonly pipelineAdmission: PipelineAdmission;
  readonly answerLog: AnswerLog;
  readonly requestIntake: RequestIntake;
  readonly callerServer: CallerServer;
}

/** Composes a daemon; tests may replace parts before they are first used. */
export function createDaemonContainer(settings: Settings): AwilixContainer<Cradle> {
  const container = createContainer<Cradle>({ strict: true });
  container.register({
    settings: asValue(settings),
    log: asFunction(createLogger).singleton(),
    timers: asFunction(() => SystemTimers.create()).singleton(),
    random: asFunction(() => RandomSource.create(randomInt(SEED_BOUND))).singleton(),
    table: asFunction((parts: Cradle) => DynamoTable.create(parts.settings.table)).singleton(),
    decisionLog: asFunction(DecisionLog.create).singleton(),
    configurationView: asFunction(() => ConfigurationView.create()).singleton(),
    configurationHistory: asFunction(ConfigurationHistory.create).singleton(),
    configurationFollower: asFunction(ConfigurationFollower.create).singleton(),
    clients: asFunction(() => HttpUpstreamClients.create()).singleton(),
    demandSource: asFunction(DemandMeter.create).singleton(),
    demandReports: asFunction(() => SingleInstanceDemand.create()).singleton(),
    pools: asFunction(ServicePools.create).singleton(),
    pipelineAdmission: asFunction(PipelineAdmission.create).singleton(),
    answerLog: asFunction(AnswerLog.create).singleton(),
    requestIntake: asFunction(RequestIntake.create).singleton(),
    callerServer: asFunction(CallerServer.create).singleton(),
  });
  return container;
}
