import type { Timers } from "../time/timers.js";
import type { Connection } from "../upstream/connection.js";
import { ConnectionUse, type ForwardMetrics } from "./forward-metrics.js";
import { UpstreamConnections } from "../upstream/upstream-connections.js";

/** Several round trips in a region. */
const CONNECT_TIMEOUT_MS = 250;
/** Upstreams close idle connections after a few seconds, sometimes sooner and without notice. */
const MAX_IDLE_MS = 3_000;

interface Parts {
  readonly timers: Timers;
  readonly forwardMetrics: ForwardMetrics;
}

/** A connection for one call. */
export interface AcquiredConnection {
  readonly connection: Connection;
  /** Whether it has carried calls before; the upstream may have closed it since then. */
  readonly reused: boolean;
}

/**
 * Pools of connections to upstreams by address, for calls that may be repeated. An instance calls
 * the same few upstreams several times a second; each new connection would cost a round trip and
 * one of the upstream's connection slots.
 */
export class ConnectionPools {
  private readonly pools = new Map<string, UpstreamConnections>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): ConnectionPools {
    return new ConnectionPools(parts);
  }

  /** Throws the errors of `Connection.open` if no idle connection can be reused. */
  async acquire(address: string, signal: AbortSignal): Promise<AcquiredConnection> {
    const connection = await this.pool(address).acquire(MAX_IDLE_MS, signal, CONNECT_TIMEOUT_MS);
    const reused = connection.answerCount > 0;
    this.parts.forwardMetrics.recordConnectionUse(
      reused ? ConnectionUse.Reused : ConnectionUse.Opened,
    );
    return { connection, reused };
  }

  /** Keeps a connection that returned a complete, well-formed response; closes any other one. */
  release(address: string, { connection }: AcquiredConnection, reusable: boolean): void {
    const pool = this.pool(address);
    if (reusable) pool.release(connection);
    else pool.discard(connection);
  }

  /** Closes the idle connections to an upstream that closed one of them. */
  discardIdle(address: string): void {
    this.parts.forwardMetrics.recordConnectionUse(ConnectionUse.Stale);
    this.pool(address).closeIdleBefore(this.parts.timers.now());
  }

  close(): void {
    for (const pool of this.pools.values()) pool.close();
    this.pools.clear();
  }

  private pool(address: string): UpstreamConnections {
    let pool = this.pools.get(address);
    if (pool === undefined) {
      // Removes empty pools, so that addresses of removed upstreams do not accumulate.
      for (const [other, { size }] of this.pools) if (size === 0) this.pools.delete(other);
      pool = UpstreamConnections.create(`http://${address}`, this.parts.timers);
      this.pools.set(address, pool);
    }
    return pool;
  }
}
