import { DecisionLog } from "../decision/decision-log.js";
import { createLogger } from "../decision/logger.js";
import { Metrics } from "../metrics/metrics.js";
import { DynamoTable } from "../table/dynamo-table.js";
import { HttpInstanceList } from "../table/http-instance-list.js";
import type { InstanceList } from "../table/instance-list.js";
import type { Table } from "../table/table.js";
import { RandomSource } from "../random/random-source.js";
import { PauseDetection } from "../time/pause-detection.js";
import type { Pauses } from "../time/pauses.js";
import { SystemTimers } from "../time/system-timers.js";
import type { Timers } from "../time/timers.js";
import { NewRequests } from "./new-requests.js";
import { Readiness } from "./readiness.js";
import { aliasTo, asFunction } from "awilix";
import type { ConsolaInstance } from "consola";
import { randomInt } from "node:crypto";
import type { Cradle } from "./container.js";

const SEED_BOUND = 2 ** 31;

/** The parts for clock, random source, logs and the platform's services. */
export interface PlatformCradle {
  readonly log: ConsolaInstance;
  readonly timers: Timers;
  readonly pauseDetection: PauseDetection;
  readonly pauses: Pauses;
  readonly random: RandomSource;
  readonly table: Table;
  readonly instanceList: InstanceList;
  readonly decisionLog: DecisionLog;
  readonly metrics: Metrics;
  readonly readiness: Readiness;
  readonly newRequests: NewRequests;
}

/** How the parts for clock, random source, logs and the platform's services are made. */
export const platformParts = {
  log: asFunction(createLogger).singleton(),
  timers: asFunction(() => SystemTimers.create()).singleton(),
  pauseDetection: asFunction(PauseDetection.create).singleton(),
  pauses: aliasTo("pauseDetection"),
  random: asFunction(() => RandomSource.create(randomInt(SEED_BOUND))).singleton(),
  table: asFunction((parts: Cradle) => DynamoTable.create(parts.settings.table)).singleton(),
  instanceList: asFunction((parts: Cradle) =>
    HttpInstanceList.create(parts.settings.instanceList.endpoint),
  ).singleton(),
  decisionLog: asFunction(DecisionLog.create).singleton(),
  metrics: asFunction(Metrics.create).singleton(),
  readiness: asFunction(() => Readiness.create()).singleton(),
  newRequests: asFunction(() => NewRequests.create()).singleton(),
};
