import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { DecisionLog } from "../decision/decision-log.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Pool } from "./pool.js";
import type { Pools } from "./pools.js";
import { ServicePool } from "./service-pool.js";

interface Parts {
  readonly configurationView: ConfigurationView;
  readonly decisionLog: DecisionLog;
}

/** One pool per service of the configuration in force. */
export class ServicePools implements Pools {
  private readonly pools = new Map<string, ServicePool>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): ServicePools {
    return new ServicePools(parts);
  }

  of(service: string): Pool {
    const { configurationView, decisionLog } = this.parts;
    if (configurationView.configuration?.service(service) === undefined) {
      throw ServeError.create(ErrorKind.NoUpstream, `service "${service}" is not configured`);
    }
    const known = this.pools.get(service);
    if (known !== undefined) return known;
    const pool = ServicePool.create(
      () => configurationView.configuration?.upstreamsOf(service) ?? [],
      decisionLog,
    );
    this.pools.set(service, pool);
    return pool;
  }
}
