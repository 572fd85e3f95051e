import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";
import { type Socket } from "node:net";
import { drain } from "./drain.js";

/** Something that reached a replica. */
export interface Arrival {
  readonly atMs: number;
  readonly replica: string;
  readonly attempt: string;
  readonly path: string;
  /** Port at which it arrived. */
  readonly port: number;
  /** Whether the replica began to work on it. */
  readonly ran: boolean;
}

/** How a replica behaves; the case may change it at any time. */
export interface Behaviour {
  workMs: number;
  /** Whether all its answers say that it is leaving. */
  leaving: boolean;
}

/** A small replica of a plain service on loopback, which keeps to the users' pages. */
export class Replica {
  readonly behaviour: Behaviour = { workMs: 40, leaving: false };
  readonly arrivals: Arrival[] = [];
  /** Attempts that it works on at present. */
  readonly atWork = new Set<string>();
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;
  private other: Server | undefined;
  private born = Date.now();
  private seq = 0;

  constructor(
    readonly id: string,
    readonly port: number,
    readonly service: string,
    /** Another port, at which one daemon alone reaches it. */
    readonly otherPort?: number,
  ) {}

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  get running(): boolean {
    return this.server !== undefined;
  }

  async start(): Promise<void> {
    this.server = await this.listen(this.port);
    if (this.otherPort !== undefined) this.other = await this.listen(this.otherPort);
    this.born = Date.now();
    this.seq = 0;
  }

  /** Its entry in the store, as it writes it at each heartbeat. */
  entry(state: "ready" | "draining" = "ready"): Record<string, unknown> {
    const { service, address, born } = this;
    this.seq += 1;
    const place = { service, address, zone: "zone-a", slots: 6 };
    return { ...place, version: "1", state, "cold-left-ms": 0, seq: this.seq, born };
  }

  /** Ends as a process does that is killed: all channels are reset, new ones refused. */
  async crash(): Promise<void> {
    const servers = [this.server, this.other].filter((each) => each !== undefined);
    this.server = undefined;
    this.other = undefined;
    this.atWork.clear();
    const closed = servers.map((each) => new Promise((resolve) => each.close(resolve)));
    for (const socket of this.sockets) socket.resetAndDestroy();
    await Promise.all(closed);
  }

  private async listen(port: number): Promise<Server> {
    const server = createServer((request, response) => {
      void this.answer(request, response);
    });
    server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.once("close", () => this.sockets.delete(socket));
    });
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
    return server;
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { server } = this;
    const { url: path = "", headers } = request;
    const attempt = (headers["nutmegstage-attempt-id"] as string | undefined) ?? "";
    await drain(request);
    if (this.behaviour.leaving) response.setHeader("server-leaving", "1");
    if (path.startsWith("/nutmegstage/")) {
      response.writeHead(200, { "content-type": "application/json" }).end("{}");
      return;
    }
    const ran = headers["nutmegstage-expect-replica"] === this.id;
    const port = request.socket.localPort ?? 0;
    this.arrivals.push({ atMs: Date.now(), replica: this.id, attempt, path, port, ran });
    if (!ran) {
      response.writeHead(421, { "nutmegstage-replica-id": this.id }).end();
      return;
    }
    this.atWork.add(attempt);
    await new Promise((resolve) => setTimeout(resolve, this.behaviour.workMs));
    this.atWork.delete(attempt);
    // The process that worked on it has ended meanwhile.
    if (this.server !== server) return;
    response.writeHead(200, {
      "nutmegstage-attempt-id": attempt,
      "nutmegstage-replica-stamp": `stamp.${this.id}`,
      "content-type": "text/plain",
    });
    response.end(`answer to ${attempt}`);
  }
}
