import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Starts the requests of one connection one after the other. The connection is read all the while,
 * so that its end is noticed; a caller that sends too many requests ahead loses it.
 */
export class CallerConnection {
  private current: ServerResponse | undefined;
  private readonly waiting: (readonly [ServerResponse, () => void])[] = [];
  private team = "";

  private constructor(
    private readonly socket: Socket,
    private readonly maxAhead: number,
    private readonly onOverflow: (team: string) => void,
  ) {}

  /** Closes a connection on which more than `maxAhead` requests wait. */
  static create(
    socket: Socket,
    maxAhead: number,
    onOverflow: (team: string) => void,
  ): CallerConnection {
    const connection = new CallerConnection(socket, maxAhead, onOverflow);
    socket.once("close", () => {
      connection.waiting.length = 0;
    });
    return connection;
  }

  /** Whether a response has not ended. */
  get busy(): boolean {
    return this.current !== undefined;
  }

  /** Name of the team of its last request; empty if none is known. */
  set owner(team: string) {
    this.team = team;
  }

  /** Calls `start` when the responses to earlier requests have ended. */
  begin(response: ServerResponse, start: () => void): void {
    if (this.socket.destroyed) return;
    if (this.current === undefined) {
      this.run(response, start);
      return;
    }
    this.waiting.push([response, start]);
    if (this.waiting.length <= this.maxAhead) return;
    this.waiting.length = 0;
    this.onOverflow(this.team);
    this.socket.destroy();
  }

  private run(response: ServerResponse, start: () => void): void {
    this.current = response;
    response.once("close", () => {
      this.current = undefined;
      const next = this.waiting.shift();
      if (next !== undefined) this.run(...next);
    });
    start();
  }
}
