import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "./connection.js";

const MOST_CONNECTIONS = 256;

/** The connections to one upstream, each used by one call at a time. */
export class UpstreamConnections {
  private readonly idle: Connection[] = [];
  private readonly taken = new Set<Connection>();
  private opening = 0;
  private distrustedBefore = -Infinity;

  private constructor(
    private readonly address: string,
    private readonly timers: Timers,
  ) {}

  static create(address: string, timers: Timers): UpstreamConnections {
    return new UpstreamConnections(address, timers);
  }

  /**
   * Takes a connection on which the upstream was heard within `trustMs`, or opens one.
   * Throws errors of `Connection.open`, and `Overloaded` if too many connections are open.
   */
  async acquire(trustMs: number, signal: AbortSignal, connectMs?: number): Promise<Connection> {
    const trustedSince = Math.max(this.timers.now() - trustMs, this.distrustedBefore);
    this.dropUnusable();
    const last = this.idle.at(-1);
    if (last !== undefined && last.lastReceivedAt >= trustedSince) {
      this.idle.pop();
      this.taken.add(last);
      return last;
    }
    return this.open(signal, connectMs);
  }

  /** Connections that are open or being opened. */
  get size(): number {
    this.dropUnusable();
    return this.idle.length + this.taken.size + this.opening;
  }

  /** Gives back a connection whose call ended with a whole answer. */
  release(connection: Connection): void {
    this.taken.delete(connection);
    connection.lastReceivedAt = this.timers.now();
    connection.answerCount += 1;
    this.idle.push(connection);
  }

  /** Closes a connection whose call did not end with a whole answer. */
  discard(connection: Connection): void {
    this.taken.delete(connection);
    connection.destroy();
  }

  /** Closes idle connections not heard since `time`; connections often fall silent together. */
  closeIdleBefore(time: number): void {
    this.distrustedBefore = Math.max(this.distrustedBefore, time);
    this.dropUnusable();
  }

  close(): void {
    for (const connection of [...this.idle, ...this.taken]) connection.destroy();
    this.idle.length = 0;
    this.taken.clear();
  }

  private async open(signal: AbortSignal, connectMs?: number): Promise<Connection> {
    if (this.taken.size + this.opening >= MOST_CONNECTIONS) {
      const detail = `${MOST_CONNECTIONS} connections to ${this.address} are in use`;
      throw ServeError.create(ErrorKind.Overloaded, detail, { undispatched: true });
    }
    this.opening += 1;
    try {
      const connection = await Connection.open(this.address, this.timers, signal, connectMs);
      this.taken.add(connection);
      return connection;
    } finally {
      this.opening -= 1;
    }
  }

  private dropUnusable(): void {
    const kept = this.idle.filter(
      (one) => one.usable && one.lastReceivedAt >= this.distrustedBefore,
    );
    for (const one of this.idle) if (!kept.includes(one)) one.destroy();
    this.idle.splice(0, this.idle.length, ...kept.slice(-MOST_CONNECTIONS));
  }
}
