import type { Timers } from "../time/timers.js";
import type { Connection } from "../upstream/connection.js";
import { ConnectionUse, type ForwardMetrics } from "./forward-metrics.js";
import { UpstreamConnections } from "../upstream/upstream-connections.js";

/** Time within which an upstream accepts a connection; several round trips in a region. */
const CONNECT_MS = 250;
/** Upstreams close idle connections after seconds, at times sooner and without notice. */
const TRUST_MS = 3_000;

interface Parts {
  readonly timers: Timers;
  readonly forwardMetrics: ForwardMetrics;
}

/** A connection for one call. */
export interface TakenConnection {
  readonly connection: Connection;
  /** Whether it has carried calls before, so that the upstream may have dropped it meanwhile. */
  readonly kept: boolean;
}

/**
 * Connections to upstreams by address, kept for calls that may be made again. Answers the load
 * pattern of one instance that calls the same few upstreams several times a second, where each new
 * connection costs a round trip and a place at the upstream.
 */
export class KeptConnections {
  private readonly pools = new Map<string, UpstreamConnections>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): KeptConnections {
    return new KeptConnections(parts);
  }

  /** Throws errors of `Connection.open` if a new connection is needed. */
  async take(address: string, signal: AbortSignal): Promise<TakenConnection> {
    const connection = await this.pool(address).acquire(TRUST_MS, signal, CONNECT_MS);
    const kept = connection.answerCount > 0;
    this.parts.forwardMetrics.connectionUsed(kept ? ConnectionUse.Kept : ConnectionUse.Opened);
    return { connection, kept };
  }

  /** Keeps a connection whose answer was whole and of the expected form; closes any other one. */
  done(address: string, { connection }: TakenConnection, reusable: boolean): void {
    const pool = this.pool(address);
    if (reusable) pool.release(connection);
    else pool.discard(connection);
  }

  /** Closes the idle connections to an upstream that dropped one of them. */
  distrust(address: string): void {
    this.parts.forwardMetrics.connectionUsed(ConnectionUse.Dropped);
    this.pool(address).closeIdleBefore(this.parts.timers.now());
  }

  close(): void {
    for (const pool of this.pools.values()) pool.close();
    this.pools.clear();
  }

  private pool(address: string): UpstreamConnections {
    let pool = this.pools.get(address);
    if (pool === undefined) {
      // Addresses of upstreams that are gone would be remembered for ever.
      for (const [other, { size }] of this.pools) if (size === 0) this.pools.delete(other);
      pool = UpstreamConnections.create(`http://${address}`, this.parts.timers);
      this.pools.set(address, pool);
    }
    return pool;
  }
}
