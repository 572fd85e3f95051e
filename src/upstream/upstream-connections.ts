import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "./connection.js";

const MAX_CONNECTIONS = 256;

/** The connections to one upstream, each used by one call at a time. */
export class UpstreamConnections {
  private readonly idle: Connection[] = [];
  private readonly inUse = new Set<Connection>();
  private opening = 0;
  private staleBefore = -Infinity;

  private constructor(
    private readonly address: string,
    private readonly timers: Timers,
  ) {}

  static create(address: string, timers: Timers): UpstreamConnections {
    return new UpstreamConnections(address, timers);
  }

  /**
   * Takes an idle connection that received data within `maxIdleMs`, or opens a new one.
   * Throws errors of `Connection.open`, and `Overloaded` if too many connections are open.
   */
  async acquire(
    maxIdleMs: number,
    signal: AbortSignal,
    connectTimeoutMs?: number,
  ): Promise<Connection> {
    const minLastReceivedAt = Math.max(this.timers.now() - maxIdleMs, this.staleBefore);
    this.dropUnusable();
    const last = this.idle.at(-1);
    if (last !== undefined && last.lastReceivedAt >= minLastReceivedAt) {
      this.idle.pop();
      this.inUse.add(last);
      return last;
    }
    return this.open(signal, connectTimeoutMs);
  }

  /** Connections that are open or being opened. */
  get size(): number {
    this.dropUnusable();
    return this.idle.length + this.inUse.size + this.opening;
  }

  /** Returns a connection whose call ended with a complete answer. */
  release(connection: Connection): void {
    this.inUse.delete(connection);
    connection.lastReceivedAt = this.timers.now();
    connection.answerCount += 1;
    this.idle.push(connection);
  }

  /** Closes a connection whose call did not end with a complete answer. */
  discard(connection: Connection): void {
    this.inUse.delete(connection);
    connection.destroy();
  }

  /** Closes connections idle since before `time`; connections often fail together. */
  closeIdleBefore(time: number): void {
    this.staleBefore = Math.max(this.staleBefore, time);
    this.dropUnusable();
  }

  close(): void {
    for (const connection of [...this.idle, ...this.inUse]) connection.destroy();
    this.idle.length = 0;
    this.inUse.clear();
  }

  private async open(signal: AbortSignal, connectTimeoutMs?: number): Promise<Connection> {
    if (this.inUse.size + this.opening >= MAX_CONNECTIONS) {
      const detail = `${MAX_CONNECTIONS} connections to ${this.address} are in use`;
      throw ServeError.create(ErrorKind.Overloaded, detail, { undispatched: true });
    }
    this.opening += 1;
    try {
      const connection = await Connection.open(this.address, this.timers, signal, connectTimeoutMs);
      this.inUse.add(connection);
      return connection;
    } finally {
      this.opening -= 1;
    }
  }

  private dropUnusable(): void {
    const kept = this.idle.filter((one) => one.usable && one.lastReceivedAt >= this.staleBefore);
    for (const one of this.idle) if (!kept.includes(one)) one.destroy();
    this.idle.splice(0, this.idle.length, ...kept.slice(-MAX_CONNECTIONS));
  }
}
