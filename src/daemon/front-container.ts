import { type AwilixContainer, aliasTo, asFunction, asValue, createContainer } from "awilix";
import type { ConsolaInstance } from "consola";
import { CrashReports } from "../crash/crash-reports.js";
import { PromptGuard } from "../crash/prompt-guard.js";
import { StoredConvictions } from "../crash/stored-convictions.js";
import { StoredSuspicions } from "../crash/stored-suspicions.js";
import { createLogger } from "../decision/logger.js";
import { LogOutput } from "../decision/log-output.js";
import { EvacuationReport } from "../evacuation/evacuation-report.js";
import { Evacuations } from "../evacuation/evacuations.js";
import { CrashProbe } from "../forward/crash-probe.js";
import { CrashRegistry } from "../forward/crash-registry.js";
import { DecisionLines } from "../forward/decision-lines.js";
import type { Dialect } from "../forward/dialect.js";
import { type RetryBudgetLimits, RetryBudget } from "../forward/retry-budget.js";
import { ForwardMetrics } from "../forward/forward-metrics.js";
import { peerSettingsOf } from "../forward/front-peer-settings.js";
import { FrontServer } from "../forward/front-server.js";
import { ConnectionPools } from "../forward/connection-pools.js";
import { OwnerConnections } from "../forward/owner-connections.js";
import { RefusalWriter } from "../forward/refusal-writer.js";
import { RequestForwarder } from "../forward/request-forwarder.js";
import { RequestMatcher } from "../forward/request-matcher.js";
import { RouteDeadlines } from "../forward/route-deadlines.js";
import { RouteView } from "../forward/route-view.js";
import type { RowDecoder } from "../forward/row-decoder.js";
import type { RowFeed } from "../forward/row-feed.js";
import { StageCaller } from "../forward/stage-caller.js";
import { StageDispatch } from "../forward/stage-dispatch.js";
import { StageLoads } from "../forward/stage-loads.js";
import { StageOwners } from "../forward/stage-owners.js";
import { StagePools } from "../forward/stage-pools.js";
import { StatusServer } from "../forward/status-server.js";
import { StoreInstanceList } from "../forward/store-instance-list.js";
import { StoreView } from "../forward/store-view.js";
import { UpstreamSelector } from "../forward/upstream-selector.js";
import { UpstreamDirectory } from "../forward/upstream-directory.js";
import { PermittedSelection } from "../forward/permitted-selection.js";
import { HeldPermits } from "../limit/held-permits.js";
import { LimitGrants } from "../limit/limit-grants.js";
import { LimitKnowledge } from "../limit/limit-knowledge.js";
import { LimitOwners } from "../limit/limit-owners.js";
import { UpstreamPermits } from "../limit/upstream-permits.js";
import { UpstreamStatements } from "../forward/upstream-statements.js";
import { UpstreamHealthRegistry } from "../forward/upstream-health-registry.js";
import type { PeerSettings } from "../peer/peer-settings.js";
import { RandomSource } from "../random/random-source.js";
import type { FrontSettings } from "../settings/front-settings.js";
import type { InstanceList } from "../table/instance-list.js";
import { LoopDelay } from "../time/loop-delay.js";
import { PauseDetection } from "../time/pause-detection.js";
import { SystemTimers } from "../time/system-timers.js";
import type { Timers } from "../time/timers.js";
import type { RowStore } from "../version/row-store.js";
import { type PeerCradle, peerParts } from "./peer-parts.js";
import { type EngineCradle, engineParts } from "./engine-parts.js";
import { type IntakeCradle, intakeParts } from "./intake-parts.js";
import { type IsolationCradle, isolationParts } from "./isolation-parts.js";
import { Readiness } from "./readiness.js";
import { type VersionCradle, versionParts } from "./version-parts.js";
import { type WarmupCradle, warmupParts } from "./warmup-parts.js";

/** What the platform's adapter gives to a daemon. */
export interface PlatformAdapter {
  readonly dialect: Dialect;
  readonly rowDecoder: RowDecoder;
  readonly rowStore: (parts: FrontCradle) => RowStore;
}

/** The parts of a daemon on the platform by name. */
export interface FrontCradle
  extends
    Omit<PeerCradle, "demandReports" | "peerVersions">,
    VersionCradle,
    IsolationCradle,
    IntakeCradle,
    WarmupCradle,
    EngineCradle {
  readonly frontSettings: FrontSettings;
  readonly settings: PeerSettings;
  readonly self: string;
  readonly dataCentre: string;
  readonly cores: number;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly log: ConsolaInstance;
  readonly logOutput: LogOutput;
  readonly decisionLines: DecisionLines;
  readonly pauses: PauseDetection;
  readonly loopDelay: LoopDelay;
  readonly dialect: Dialect;
  readonly rowDecoder: RowDecoder;
  readonly rowFeed: RowFeed;
  readonly rowStore: RowStore;
  readonly routeView: RouteView;
  readonly instanceList: InstanceList;
  readonly evacuations: Evacuations;
  readonly evacuationReport: EvacuationReport;
  readonly directory: UpstreamDirectory;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly limitOwners: LimitOwners;
  readonly limitGrants: LimitGrants;
  readonly limitKnowledge: LimitKnowledge;
  readonly upstreamPermits: UpstreamPermits;
  readonly heldPermits: HeldPermits;
  readonly upstreamStatements: UpstreamStatements;
  readonly permittedSelection: PermittedSelection;
  readonly upstreamSelector: UpstreamSelector;
  readonly retryBudgetLimits: RetryBudgetLimits;
  readonly liveInstances: () => number;
  readonly retryBudget: RetryBudget;
  readonly crashRegistry: CrashRegistry;
  readonly crashProbe: CrashProbe;
  readonly promptGuard: PromptGuard;
  readonly crashReports: CrashReports;
  readonly storedConvictions: StoredConvictions;
  readonly storedSuspicions: StoredSuspicions;
  readonly forwardMetrics: ForwardMetrics;
  readonly connectionPools: ConnectionPools;
  readonly stageCaller: StageCaller;
  readonly stageLoads: StageLoads;
  readonly routeDeadlines: RouteDeadlines;
  readonly stageOwners: StageOwners;
  readonly ownerConnections: OwnerConnections;
  readonly stagePools: StagePools;
  readonly stageDispatch: StageDispatch;
  readonly storeView: StoreView;
  readonly refusalWriter: RefusalWriter;
  readonly readiness: Readiness;
  readonly admit: () => void;
  readonly requestMatcher: RequestMatcher;
  readonly requestForwarder: RequestForwarder;
  readonly callers: FrontSettings["callers"];
  readonly frontServer: FrontServer;
  readonly statusServer: StatusServer;
}

/** Composes a daemon on the platform; tests may replace parts before they are first used. */
export function createFrontContainer(
  frontSettings: FrontSettings,
  adapter: PlatformAdapter,
): AwilixContainer<FrontCradle> {
  const container = createContainer<FrontCradle>({ strict: true });
  container.register({
    ...peerParts,
    ...versionParts,
    ...isolationParts,
    ...intakeParts,
    ...warmupParts,
    ...engineParts,
    frontSettings: asValue(frontSettings),
    settings: asValue(peerSettingsOf(frontSettings)),
    self: asValue(frontSettings.instance.id),
    dataCentre: asValue(frontSettings.instance.dataCentre),
    cores: asValue(frontSettings.instance.cores),
    callers: asValue(frontSettings.callers),
    timers: asFunction(SystemTimers.create).singleton(),
    // Instances must differ in their random choices, and nothing needs to repeat them.
    random: asFunction(() => RandomSource.create(Math.floor(performance.timeOrigin))).singleton(),
    logOutput: asFunction(() => LogOutput.create()).singleton(),
    log: asFunction((parts: FrontCradle) => {
      const log = { format: "json" as const, level: frontSettings.logLevel, decisions: true };
      const settings = { log, instance: frontSettings.instance };
      return createLogger({ settings }, parts.logOutput);
    }).singleton(),
    decisionLines: asFunction(DecisionLines.create).singleton(),
    pauses: asFunction(PauseDetection.create).singleton(),
    loopDelay: asFunction(LoopDelay.create).singleton(),
    dialect: asValue(adapter.dialect),
    rowDecoder: asValue(adapter.rowDecoder),
    rowStore: asFunction(adapter.rowStore).singleton(),
    rowFeed: aliasTo("rowStore"),
    routeView: asFunction(() => RouteView.create()).singleton(),
    configurationView: aliasTo("routeView"),
    demandSource: asValue({ digest: () => ({ services: {}, teams: {} }) }),
    instanceList: asFunction(instanceList).singleton(),
    evacuations: asFunction(Evacuations.create).singleton(),
    evacuationReport: asFunction(EvacuationReport.create).singleton(),
    directory: asFunction(UpstreamDirectory.create).singleton(),
    upstreamHealth: asFunction(UpstreamHealthRegistry.create).singleton(),
    limitOwners: asFunction(LimitOwners.create).singleton(),
    limitGrants: asFunction(LimitGrants.create).singleton(),
    limitKnowledge: asFunction(LimitKnowledge.create).singleton(),
    upstreamPermits: asFunction(UpstreamPermits.create).singleton(),
    heldPermits: asFunction(HeldPermits.create).singleton(),
    upstreamStatements: asFunction(UpstreamStatements.create).singleton(),
    permittedSelection: asFunction(PermittedSelection.create).singleton(),
    upstreamSelector: asFunction(UpstreamSelector.create).singleton(),
    retryBudgetLimits: asValue({
      ratio: frontSettings.bounds.budgetRatio,
      slack: frontSettings.bounds.budgetSlack,
      windowMs: frontSettings.bounds.budgetWindowSeconds,
    }),
    liveInstances: asFunction((parts: FrontCradle) => (): number => {
      return parts.heartbeatReports.liveInstances();
    }).singleton(),
    retryBudget: asFunction(RetryBudget.create).singleton(),
    crashRegistry: asFunction(CrashRegistry.create).singleton(),
    crashProbe: asFunction(CrashProbe.create).singleton(),
    promptGuard: asFunction(PromptGuard.create).singleton(),
    crashReports: asFunction(CrashReports.create).singleton(),
    storedConvictions: asFunction(StoredConvictions.create).singleton(),
    storedSuspicions: asFunction(StoredSuspicions.create).singleton(),
    forwardMetrics: asFunction(() => ForwardMetrics.create()).singleton(),
    connectionPools: asFunction(ConnectionPools.create).singleton(),
    stageCaller: asFunction(StageCaller.create).singleton(),
    stageLoads: asFunction(StageLoads.create).singleton(),
    routeDeadlines: asFunction(() => RouteDeadlines.create()).singleton(),
    stageOwners: asFunction(StageOwners.create).singleton(),
    ownerConnections: asFunction(OwnerConnections.create).singleton(),
    stagePools: asFunction(StagePools.create).singleton(),
    stageDispatch: asFunction(StageDispatch.create).singleton(),
    storeView: asFunction(StoreView.create).singleton(),
    refusalWriter: asFunction(RefusalWriter.create).singleton(),
    readiness: asFunction(() => Readiness.create()).singleton(),
    admit: asFunction((parts: FrontCradle) => (): void => {
      parts.readiness.admit();
    }).singleton(),
    requestMatcher: asFunction(RequestMatcher.create).singleton(),
    requestForwarder: asFunction(RequestForwarder.create).singleton(),
    frontServer: asFunction(FrontServer.create).singleton(),
    statusServer: asFunction((parts: FrontCradle) =>
      StatusServer.create({
        dialect: parts.dialect,
        forwardMetrics: parts.forwardMetrics,
        ready: () => parts.readiness.ready && parts.storeView.loaded,
        readinessAddress: frontSettings.readiness,
        metricsAddress: frontSettings.metrics,
      }),
    ).singleton(),
  });
  return container;
}

function instanceList({ rowFeed, log, frontSettings }: FrontCradle): InstanceList {
  const { instance, peers, seeds } = frontSettings;
  const state = "live" as const;
  return StoreInstanceList.create({
    rowFeed,
    log,
    self: { ...instance, peerAddress: `http://${peers.host}:${peers.port}`, state },
    seeds: seeds.map((address) => ({
      id: address.split(":")[0] ?? address,
      peerAddress: `http://${address}`,
      dataCentre: "",
      state,
      cores: 0,
    })),
  });
}
