import { randomInt } from "node:crypto";
import { type AwilixContainer, aliasTo, asFunction, asValue, createContainer } from "awilix";
import type { ConsolaInstance } from "consola";
import { DemandMeter } from "../admission/demand-meter.js";
import { PipelineAdmission } from "../admission/pipeline-admission.js";
import { ServicePools } from "../admission/service-pools.js";
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
import { PeerChanges } from "../configuration/peer-changes.js";
import { TableConfigurationRegistry } from "../configuration/table-configuration-registry.js";
import { ClaimHolders } from "../ledger/claim-holders.js";
import type { Ledger } from "../ledger/ledger.js";
import { LedgerExpiry } from "../ledger/ledger-expiry.js";
import { TableBreaker } from "../ledger/table-breaker.js";
import { TableLedger } from "../ledger/table-ledger.js";
import { WriteBatcher } from "../ledger/write-batcher.js";
import type { Members } from "../peer/members.js";
import { OperatorServer } from "../operator/operator-server.js";
import { AttemptRegistry } from "../pipeline/attempt-registry.js";
import { RequestIntake } from "../pipeline/request-intake.js";
import { HttpInstanceList } from "../platform/http-instance-list.js";
import type { InstanceList } from "../platform/instance-list.js";
import type { DemandReports } from "../admission/demand-reports.js";
import { Broadcast } from "../peer/broadcast.js";
import { HeartbeatReports } from "../peer/heartbeat-reports.js";
import { Heartbeats } from "../peer/heartbeats.js";
import { ListCorrection } from "../peer/list-correction.js";
import { MemberNews } from "../peer/member-news.js";
import { MemberTable } from "../peer/member-table.js";
import { Membership } from "../peer/membership.js";
import type { PeerVersions } from "../peer/peer-versions.js";
import type { Updates } from "../peer/updates.js";
import { PauseDetection } from "../time/pause-detection.js";
import type { Pauses } from "../time/pauses.js";
import { AddressBook } from "../peer/address-book.js";
import { PeerClients } from "../peer/peer-clients.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import { PeerServer } from "../peer/peer-server.js";
import { DynamoTable } from "../platform/dynamo-table.js";
import type { Table } from "../platform/table.js";
import { RandomSource } from "../random/random-source.js";
import type { Settings } from "../settings/settings.js";
import { RetryBudget } from "../routing/retry-budget.js";
import { SystemTimers } from "../time/system-timers.js";
import type { Timers } from "../time/timers.js";
import { DroppedAnswers } from "../upstream/dropped-answers.js";
import { HttpUpstreamClients } from "../upstream/http-upstream-clients.js";
import type { UpstreamClients } from "../upstream/upstream-clients.js";
import { NewRequests } from "./new-requests.js";
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
  readonly droppedAnswers: DroppedAnswers;
  readonly readiness: Readiness;
  readonly newRequests: NewRequests;
  readonly peerChanges: PeerChanges;
  readonly addressBook: AddressBook;
  readonly peerServer: PeerServer;
  readonly peerMethods: PeerMethods;
  readonly peerCalls: PeerClients;
  readonly instanceList: InstanceList;
  readonly pauseDetection: PauseDetection;
  readonly pauses: Pauses;
  readonly memberTable: MemberTable;
  readonly members: Members;
  readonly broadcast: Broadcast;
  readonly updates: Updates;
  readonly memberNews: MemberNews;
  readonly heartbeatReports: HeartbeatReports;
  readonly demandReports: DemandReports;
  readonly peerVersions: PeerVersions;
  readonly heartbeats: Heartbeats;
  readonly listCorrection: ListCorrection;
  readonly membership: Membership;
  /** Start time of this process in ms since the epoch. */
  readonly incarnation: number;
  readonly attemptStates: AttemptRegistry;
  readonly tableBreaker: TableBreaker;
  readonly writeBatcher: WriteBatcher;
  readonly claimHolders: ClaimHolders;
  readonly ledger: Ledger;
  readonly ledgerExpiry: LedgerExpiry;
  readonly retryBudget: RetryBudget;
  readonly clients: UpstreamClients;
  readonly configurationRegistry: ConfigurationRegistry;
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
    droppedAnswers: asFunction(() => DroppedAnswers.create()).singleton(),
    retryBudget: asFunction(RetryBudget.create).singleton(),
    clients: asFunction(HttpUpstreamClients.create).singleton(),
    readiness: asFunction(() => Readiness.create()).singleton(),
    newRequests: asFunction(() => NewRequests.create()).singleton(),
    configurationRegistry: asFunction(TableConfigurationRegistry.create).singleton(),
    peerChanges: asFunction(PeerChanges.create).singleton(),
    addressBook: asFunction(() => AddressBook.create()).singleton(),
    peerServer: asFunction(PeerServer.create).singleton(),
    peerMethods: aliasTo("peerServer"),
    peerCalls: asFunction(PeerClients.create).singleton(),
    instanceList: asFunction((parts: Cradle) =>
      HttpInstanceList.create(parts.settings.instanceList.endpoint),
    ).singleton(),
    pauseDetection: asFunction(PauseDetection.create).singleton(),
    pauses: aliasTo("pauseDetection"),
    memberTable: asFunction(MemberTable.create).singleton(),
    members: aliasTo("memberTable"),
    broadcast: asFunction((parts: Cradle) => Broadcast.create(parts)).singleton(),
    updates: aliasTo("broadcast"),
    memberNews: asFunction(MemberNews.create).singleton(),
    heartbeatReports: asFunction(HeartbeatReports.create).singleton(),
    demandReports: aliasTo("heartbeatReports"),
    peerVersions: aliasTo("heartbeatReports"),
    heartbeats: asFunction(Heartbeats.create).singleton(),
    listCorrection: asFunction(ListCorrection.create).singleton(),
    membership: asFunction(Membership.create).singleton(),
    incarnation: asFunction((parts: Cradle) => parts.memberTable.own.incarnation).singleton(),
    attemptStates: asFunction(() => AttemptRegistry.create()).singleton(),
    tableBreaker: asFunction(TableBreaker.create).singleton(),
    writeBatcher: asFunction((parts: Cradle) => WriteBatcher.create(parts)).singleton(),
    claimHolders: asFunction(ClaimHolders.create).singleton(),
    ledger: asFunction(TableLedger.create).singleton(),
    ledgerExpiry: asFunction(LedgerExpiry.create).singleton(),
    demandSource: asFunction(DemandMeter.create).singleton(),
    pools: asFunction(ServicePools.create).singleton(),
    pipelineAdmission: asFunction(PipelineAdmission.create).singleton(),
    answerLog: asFunction(AnswerLog.create).singleton(),
    answerFinder: asFunction(AnswerFinder.create).singleton(),
    answerReads: asFunction(AnswerReads.create).singleton(),
    requestIntake: asFunction(RequestIntake.create).singleton(),
    callerServer: asFunction(CallerServer.create).singleton(),
    operatorServer: asFunction(OperatorServer.create).singleton(),
  });
  return container;
}
