import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";
import { freePorts } from "../../standin/free-ports.js";
import type { ReplicaEntry } from "./site.js";

const MISDIRECTED = 421;

/** Answers a request that a replica runs. */
export type Run = (
  request: IncomingMessage,
  response: ServerResponse,
  body: Buffer,
) => Promise<void> | void;

/** A stand-in of a replica: names itself, checks that it is meant, and runs what it gets. */
export class Replica {
  private server: Server | undefined;
  private bornMs = Date.now();

  private constructor(
    public id: string,
    readonly service: string,
    readonly zone: string,
    private readonly port: number,
    private readonly run: Run,
  ) {}

  static async create(id: string, service: string, zone: string, run: Run): Promise<Replica> {
    const [port = 0] = await freePorts(1);
    const replica = new Replica(id, service, zone, port, run);
    await replica.start();
    return replica;
  }

  entry(state: "ready" | "draining" = "ready", version = "1"): ReplicaEntry {
    const { service, zone, port, bornMs: born } = this;
    return { service, address: `127.0.0.1:${port}`, zone, slots: 16, state, born, seq: 1, version };
  }

  /** Starts a new process of the replica, which knows nothing of an earlier one. */
  async start(): Promise<void> {
    this.bornMs = Date.now();
    const server = createServer((request, response) => {
      this.answer(request, response).catch(() => {
        response.destroy();
      });
    });
    this.server = server;
    await new Promise<void>((resolve) => server.listen(this.port, "127.0.0.1", resolve));
  }

  /** Ends as a crash does: all connections break, and new ones are refused. */
  crash(): void {
    this.server?.close();
    this.server?.closeAllConnections();
    this.server = undefined;
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (request.url === "/nutmegstage/report") {
      response.writeHead(200, { "content-type": "application/json" }).end("{}");
      return;
    }
    if (request.headers["nutmegstage-expect-replica"] !== this.id) {
      response.writeHead(MISDIRECTED, { "nutmegstage-not-executed": "1" }).end();
      return;
    }
    response.setHeader("nutmegstage-attempt-id", request.headers["nutmegstage-attempt-id"] ?? "");
    response.setHeader("nutmegstage-replica-stamp", `stamp.${this.id}`);
    await this.run(request, response, Buffer.concat(chunks));
  }
}
