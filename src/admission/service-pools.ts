import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { DecisionLog } from "../decision/decision-log.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { RandomSource } from "../random/random-source.js";
import { LoadPoller } from "../routing/load-poller.js";
import { Router } from "../routing/router.js";
import type { Settings } from "../settings/settings.js";
import type { Timers } from "../time/timers.js";
import type { UpstreamClients } from "../upstream/upstream-clients.js";
import type { DemandMeter } from "./demand-meter.js";
import type { DemandReports } from "./demand-reports.js";
import { LimitShare } from "./limit-share.js";
import type { Pools } from "./pools.js";
import { ServicePool } from "./service-pool.js";

interface Parts {
  readonly configurationView: ConfigurationView;
  readonly decisionLog: DecisionLog;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly settings: Pick<Settings, "instance">;
  readonly clients: UpstreamClients;
  readonly demandSource: DemandMeter;
  readonly demandReports: DemandReports;
}

/** The pools of the configured services; each is created on first use. */
export class ServicePools implements Pools {
  private readonly pools = new Map<string, ServicePool>();
  private readonly pollers: LoadPoller[] = [];

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): ServicePools {
    return new ServicePools(parts);
  }

  of(service: string): ServicePool {
    const { configurationView } = this.parts;
    if (configurationView.configuration?.service(service) === undefined) {
      throw ServeError.create(ErrorKind.NoUpstream, `service "${service}" is not configured`);
    }
    let createPool = this.pools.get(service);
    if (createPool === undefined) {
      createPool = this.pool(service);
      this.pools.set(service, createPool);
    }
    return createPool;
  }

  /** Stops polling the load of upstreams; the pools continue to hand out slots. */
  stopPolling(): void {
    for (const poller of this.pollers.splice(0)) poller.stop();
  }

  private pool(service: string): ServicePool {
    const { configurationView, decisionLog, timers, random, settings, demandSource } = this.parts;
    const configuration = () => configurationView.configuration;
    const { dataCentre } = settings.instance;
    const router = Router.create({ timers, random, configuration, service, dataCentre });
    const poller = LoadPoller.create(
      () => router.activeRecords(),
      (record) => {
        router.recordMissingReport(record);
      },
      this.parts,
    );
    this.pollers.push(poller);
    const limitShare = LimitShare.create(service, this.parts);
    return ServicePool.create({
      service,
      timers,
      configuration,
      decisionLog,
      router,
      limitShare,
      demandSource,
    });
  }
}
