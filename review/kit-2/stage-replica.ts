import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";
import type { Socket } from "node:net";
import type { Results } from "./engine.js";
import { sleep } from "./site.js";

const CALL_MS = 200;
const PIECE_MS = 14;
/** A result is kept for so long unless it is given up before. */
const HANDLE_MS = 4_000;
/** Calls that may wait beside the one that runs. */
const QUEUE = 2;

/** A small replica of a stage service on loopback. */
export class StageReplica {
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;
  private born = Date.now();
  private seq = 0;
  private made = 0;
  private waiting = 0;
  private turn: Promise<void> = Promise.resolve();

  /** `results` holds the results of all replicas, for the engines that read them. */
  constructor(
    readonly id: string,
    readonly port: number,
    readonly service: string,
    private readonly results: Results,
  ) {}

  async start(): Promise<void> {
    const server = createServer((request, response) => {
      void this.answer(request, response);
    });
    server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.once("close", () => this.sockets.delete(socket));
    });
    await new Promise<void>((resolve) => server.listen(this.port, "127.0.0.1", resolve));
    this.server = server;
    this.born = Date.now();
  }

  entry(state: "ready" | "draining" = "ready"): Record<string, unknown> {
    const { service, born } = this;
    this.seq += 1;
    const place = { service, address: `127.0.0.1:${this.port}`, zone: "zone-a", slots: 1 };
    return { ...place, version: "1", state, "cold-left-ms": 0, seq: this.seq, born };
  }

  async crash(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    const closed = new Promise((resolve) => server?.close(resolve));
    for (const socket of this.sockets) socket.resetAndDestroy();
    if (server !== undefined) await closed;
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString();
    const { url, headers } = request;
    if (url === "/nutmegstage/stage-free") {
      const { handles } = JSON.parse(body) as { handles: string[] };
      for (const handle of handles) this.results.delete(handle);
      json(response, {});
      return;
    }
    if (url !== "/nutmegstage/stage-run") {
      json(response, { queued: this.waiting, busy: this.waiting > 0, "free-mb": 27 });
      return;
    }
    if (headers["nutmegstage-expect-replica"] !== this.id) {
      response.writeHead(421, { "nutmegstage-not-executed": "1" }).end();
      return;
    }
    if (this.waiting > QUEUE) {
      response.writeHead(503, { "nutmegstage-not-executed": "1" }).end();
      return;
    }
    const { items } = JSON.parse(body) as { items: unknown[] };
    this.waiting += 1;
    const work = this.turn.then(() => sleep(CALL_MS + items.length * PIECE_MS));
    this.turn = work;
    await work;
    this.waiting -= 1;
    json(response, { items: items.map(() => ({ handle: this.make() })) });
  }

  private make(): string {
    this.made += 1;
    const handle = `127.0.0.1:${this.port}/${this.made.toString(16)}`;
    this.results.add(handle);
    setTimeout(() => this.results.delete(handle), HANDLE_MS).unref();
    return handle;
  }
}

function json(response: ServerResponse, body: unknown): void {
  response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(body));
}
