import { randomInt } from "node:crypto";
import { type AwilixContainer, asFunction, asValue, createContainer } from "awilix";
import type { ConsolaInstance } from "consola";
import { ServicePools } from "../admission/service-pools.js";
import type { Pools } from "../admission/pools.js";
import { AnswerFinder } from "../caller/answer-finder.js";
import { AnswerLog } from "../caller/answer-log.js";
import { AnswerReads } from "../caller/answer-reads.js";
import { CallerServer } from "../caller/caller-server.js";
import { ConfigurationFollower } from "../configuration/configuration-follower.js";
import { ConfigurationHistory } from "../configuration/configuration-history.js";
import type { ConfigurationRegistry } from "../configuration/configuration-registry.js";
import { ConfigurationView } from "../configuration/configuration-view.js";
import { DecisionLog } from "../decision/decision-log.js";
import { createLogger } from "../decision/logger.js";
import type { Ledger } from "../ledger/ledger.js";
import type { Members } from "../peer/members.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import { OperatorServer } from "../operator/operator-server.js";
import { AttemptRegistry } from "../pipeline/attempt-registry.js";
import { RequestIntake } from "../pipeline/request-intake.js";
import { DynamoTable } from "../platform/dynamo-table.js";
import type { Table } from "../platform/table.js";
import { RandomSource } from "../random/random-source.js";
import type { Settings } from "../settings/settings.js";
import { SystemTimers } from "../time/system-timers.js";
import type { Timers } from "../time/timers.js";
import { HttpUpstreamClients } from "../upstream/http-upstream-clients.js";
import type { UpstreamClients } from "../upstream/upstream-clients.js";
import {
  noConfigurationRegistry,
  noLedger,
  noMembers,
  noPeerCalls,
  noPeerMethods,
} from "./absent-parts.js";
import { Readiness } from "./readiness.js";

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
  readonly pools: Pools;
  readonly readiness: Readiness;
  readonly members: Members;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly ledger: Ledger;
  readonly configurationRegistry: ConfigurationRegistry;
  readonly attemptStates: AttemptRegistry;
  readonly answerLog: AnswerLog;
  readonly answerFinder: AnswerFinder;
  readonly answerReads: AnswerReads;
  readonly requestIntake: RequestIntake;
  readonly callerServer: CallerServer;
  readonly operatorServer: OperatorServer;
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
    pools: asFunction(ServicePools.create).singleton(),
    readiness: asFunction(() => Readiness.create()).singleton(),
    members: asFunction((parts: Cradle) => noMembers(parts.settings.instance.id)).singleton(),
    peerCalls: asValue(noPeerCalls),
    peerMethods: asValue(noPeerMethods),
    ledger: asValue(noLedger),
    configurationRegistry: asValue(noConfigurationRegistry),
    attemptStates: asFunction(() => AttemptRegistry.create()).singleton(),
    answerLog: asFunction(AnswerLog.create).singleton(),
    answerFinder: asFunction(AnswerFinder.create).singleton(),
    answerReads: asFunction(AnswerReads.create).singleton(),
    requestIntake: asFunction(RequestIntake.create).singleton(),
    callerServer: asFunction(CallerServer.create).singleton(),
    operatorServer: asFunction(OperatorServer.create).singleton(),
  });
  return container;
}
