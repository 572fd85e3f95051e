import { type FastifyInstance, fastify } from "fastify";
import type { Dialect } from "./dialect.js";
import type { ForwardMetrics } from "./forward-metrics.js";

const STATUS_READY = 200;
const STATUS_NOT_READY = 503;

interface Address {
  readonly host: string;
  readonly port: number;
}

interface Parts {
  readonly dialect: Dialect;
  readonly forwardMetrics: ForwardMetrics;
  readonly ready: () => boolean;
  readonly readinessAddress: Address;
  readonly metricsAddress: Address;
}

/** Serves the readiness check of the load balancer and the metrics, each on its own address. */
export class StatusServer {
  private readonly readiness: FastifyInstance = fastify({ forceCloseConnections: true });
  private readonly metrics: FastifyInstance = fastify({ forceCloseConnections: true });

  private constructor(private readonly parts: Parts) {
    const { dialect, ready, forwardMetrics } = parts;
    this.readiness.get(dialect.readinessPath, (_request, reply) =>
      reply.status(ready() ? STATUS_READY : STATUS_NOT_READY).send(),
    );
    this.metrics.get("/metrics", async (_request, reply) =>
      reply.type(forwardMetrics.contentType).send(await forwardMetrics.render()),
    );
  }

  static create(parts: Parts): StatusServer {
    return new StatusServer(parts);
  }

  async listen(): Promise<void> {
    await this.readiness.listen(this.parts.readinessAddress);
    await this.metrics.listen(this.parts.metricsAddress);
  }

  async close(): Promise<void> {
    await this.readiness.close();
    await this.metrics.close();
  }
}
