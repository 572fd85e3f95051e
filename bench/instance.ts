import type { ConsolaInstance } from "consola";
import { DemandMeter } from "../src/admission/demand-meter.js";
import type { DemandReport, DemandReports } from "../src/admission/demand-reports.js";
import { PipelineAdmission } from "../src/admission/pipeline-admission.js";
import type { Pool } from "../src/admission/pool.js";
import { ServicePools } from "../src/admission/service-pools.js";
import type { Configuration } from "../src/configuration/configuration.js";
import { ConfigurationView } from "../src/configuration/configuration-view.js";
import { DecisionLog } from "../src/decision/decision-log.js";
import type { ServeRequest } from "../src/pipeline/serve-request.js";
import { RandomSource } from "../src/random/random-source.js";
import { RetryBudget } from "../src/routing/retry-budget.js";
import type { Settings } from "../src/settings/settings.js";
import type { Timers } from "../src/time/timers.js";
import { BaselinePool } from "./baseline-pool.js";
import type { BenchFleet } from "./fleet.js";
import { Policy } from "./policy.js";

const HEARTBEAT_MS = 1_000;

/** An entry instance: the real decision code, or a baseline in its place. */
export interface BenchInstance {
  readonly dataCentre: string;
  readonly demand: DemandMeter;
  /** Throws if the request is refused. */
  admit(request: ServeRequest): () => void;
  pool(service: string): Pool;
  readonly retryBudget: RetryBudget;
  /** First attempts of stages and attempts beyond them. */
  readonly attempts: { first: number; extra: number };
}

/** The decision log of the bench; it writes nothing. */
export const silentLog = DecisionLog.create({
  log: undefined as unknown as ConsolaInstance,
  settings: { log: { decisions: false } } as Settings,
});

/** Makes instances that exchange their demand each second. */
export function createInstances(
  policy: Policy,
  count: number,
  configuration: Configuration,
  timers: Timers,
  fleet: BenchFleet,
  seed: number,
): BenchInstance[] {
  const centres = configuration.document.dataCentres;
  const instances: BenchInstance[] = [];
  let received = 0;
  let digests: (readonly [string, DemandReport["digest"]])[] = [];
  timers.every(HEARTBEAT_MS, () => {
    received = timers.now();
    digests = instances.map((instance, at) => [`i${at}`, instance.demand.digest()]);
  });
  for (let at = 0; at < count; at++) {
    const id = `i${at}`;
    const reports: DemandReports = {
      liveInstances: () => count,
      reports: () =>
        policy === Policy.FixedLimits
          ? []
          : digests
              .filter(([instance]) => instance !== id)
              .map(([instance, digest]) => ({ instance, ageMs: timers.now() - received, digest })),
    };
    const dataCentre = centres[at % centres.length]?.name ?? "dc-0";
    const random = RandomSource.create(seed + at);
    instances.push(
      policy === Policy.Nutmegstage || policy === Policy.FixedLimits
        ? realInstance(id, dataCentre, configuration, timers, fleet, random, reports)
        : baselineInstance(policy, count, dataCentre, configuration, timers, random),
    );
  }
  return instances;
}

function realInstance(
  id: string,
  dataCentre: string,
  configuration: Configuration,
  timers: Timers,
  fleet: BenchFleet,
  random: RandomSource,
  demandReports: DemandReports,
): BenchInstance {
  const configurationView = ConfigurationView.create();
  configurationView.adopt(configuration);
  const demandSource = DemandMeter.create({ timers });
  const parts = {
    configurationView,
    decisionLog: silentLog,
    timers,
    random,
    settings: { instance: { id, dataCentre, cores: 1 } },
    clients: fleet.clients(),
    demandSource,
    demandReports,
  };
  const pools = ServicePools.create(parts);
  const admission = PipelineAdmission.create({ ...parts, pools });
  return {
    dataCentre,
    demand: demandSource,
    admit: (request) => admission.admit(request),
    pool: (service) => pools.of(service),
    retryBudget: RetryBudget.create({ timers }),
    attempts: { first: 0, extra: 0 },
  };
}

function baselineInstance(
  policy: Policy,
  count: number,
  dataCentre: string,
  configuration: Configuration,
  timers: Timers,
  random: RandomSource,
): BenchInstance {
  const pools = new Map(
    configuration.document.services.map(({ name }) => [
      name,
      BaselinePool.create(policy, configuration.upstreamsOf(name), count, random),
    ]),
  );
  return {
    dataCentre,
    demand: DemandMeter.create({ timers }),
    admit: () => () => undefined,
    pool: (service) => {
      const pool = pools.get(service);
      if (pool === undefined) throw new Error(`no service ${service}`);
      return pool;
    },
    retryBudget: RetryBudget.create({ timers }),
    attempts: { first: 0, extra: 0 },
  };
}
