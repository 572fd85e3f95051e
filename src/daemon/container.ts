import { randomInt } from "node:crypto";
import { type AwilixContainer, asFunction, asValue, createContainer } from "awilix";
import type { ConsolaInstance } from "consola";
import { ServicePools } from "../admission/service-pools.js";
import type { Pools } from "../admission/pools.js";
import { AnswerLog } from "../caller/answer-log.js";
import { CallerServer } from "../caller/caller-server.js";
import { ConfigurationFollower } from "../configuration/configuration-follower.js";
import { ConfigurationHistory } from "../configuration/configuration-history.js";
import { ConfigurationView } from "../configuration/configuration-view.js";
import { DecisionLog } from "../decision/decision-log.js";
import { createLogger } from "../decision/logger.js";
import type { AttemptStates } from "../ledger/attempt-states.js";
import { ClaimHolders } from "../ledger/claim-holders.js";
import type { Ledger } from "../ledger/ledger.js";
import { LedgerExpiry } from "../ledger/ledger-expiry.js";
import { TableBreaker } from "../ledger/table-breaker.js";
import { TableLedger } from "../ledger/table-ledger.js";
import { WriteBatcher } from "../ledger/write-batcher.js";
import type { Members } from "../peer/members.js";
import type { PeerCalls } from "../peer/peer-calls.js";
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
  /** Start time of this process in ms since the epoch. */
  readonly incarnation: number;
  readonly members: Members;
  readonly peerCalls: PeerCalls;
  readonly attemptStates: AttemptStates;
  readonly tableBreaker: TableBreaker;
  readonly writeBatcher: WriteBatcher;
  readonly claimHolders: ClaimHolders;
  readonly ledger: Ledger;
  readonly ledgerExpiry: LedgerExpiry;
  readonly clients: UpstreamClients;
  readonly pools: Pools;
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
    incarnation: asFunction((parts: Cradle) => parts.timers.wallClock()).singleton(),
    tableBreaker: asFunction(TableBreaker.create).singleton(),
    writeBatcher: asFunction((parts: Cradle) => WriteBatcher.create(parts)).singleton(),
    claimHolders: asFunction(ClaimHolders.create).singleton(),
    ledger: asFunction(TableLedger.create).singleton(),
    ledgerExpiry: asFunction(LedgerExpiry.create).singleton(),
    clients: asFunction(() => HttpUpstreamClients.create()).singleton(),
    pools: asFunction(ServicePools.create).singleton(),
    answerLog: asFunction(AnswerLog.create).singleton(),
    requestIntake: asFunction(RequestIntake.create).singleton(),
    callerServer: asFunction(CallerServer.create).singleton(),
  });
  return container;
}
