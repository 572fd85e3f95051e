import type { Socket } from "node:net";
import { CallerConnection } from "./caller-connection.js";
import type { CallerLosses } from "./caller-losses.js";
import { LossReason } from "./loss-reason.js";
import type { CallerShares } from "./caller-shares.js";

interface Parts {
  readonly callerShares: CallerShares;
  readonly callerLosses: Pick<CallerLosses, "record">;
}

/** The open connections of callers; above their limit, those without a request are closed. */
export class CallerConnections {
  /** Oldest first; a connection is moved to the end with each request. */
  private readonly connections = new Map<Socket, CallerConnection>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): CallerConnections {
    return new CallerConnections(parts);
  }

  get count(): number {
    return this.connections.size;
  }

  /** Adds an accepted connection, for which another one may be closed. */
  add(socket: Socket): void {
    const { callerShares, callerLosses } = this.parts;
    if (this.connections.size >= callerShares.connections) {
      const idle = this.longestIdle();
      // Each connection has a request in progress, which is not ended for a new one.
      (idle ?? socket).destroy();
      callerLosses.record(LossReason.Connections, "");
      if (idle === undefined) return;
      this.connections.delete(idle);
    }
    this.touch(
      socket,
      CallerConnection.create(socket, callerShares.requestsAhead, (team) => {
        callerLosses.record(LossReason.RequestsAhead, team);
      }),
    );
    socket.once("close", () => {
      this.connections.delete(socket);
    });
  }

  /** The connection on which a request arrived; undefined if it was closed. */
  of(socket: Socket): CallerConnection | undefined {
    const connection = this.connections.get(socket);
    if (connection !== undefined) this.touch(socket, connection);
    return connection;
  }

  private touch(socket: Socket, connection: CallerConnection): void {
    this.connections.delete(socket);
    this.connections.set(socket, connection);
  }

  private longestIdle(): Socket | undefined {
    for (const [socket, connection] of this.connections) if (!connection.busy) return socket;
    return undefined;
  }
}
