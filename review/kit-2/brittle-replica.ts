import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";
import type { Socket } from "node:net";
import { drain } from "./drain.js";
import { sleep } from "./site.js";

const COUNTED_MS = 1_000;

/** A request that a replica turned away. */
export interface Rejection {
  readonly atMs: number;
  readonly attempt: string;
}

/** The end of a replica that had to turn too many requests away. */
export interface Fall {
  readonly atMs: number;
  readonly replica: string;
  /** What it had turned away in the second before. */
  readonly rejected: readonly Rejection[];
  /** Requests that it was at work on. */
  readonly lost: number;
}

/** A small replica of a plain service that can be brittle. */
export class BrittleReplica {
  /** Rejections that it bears in a second; undefined if it is not brittle. */
  tolerated: number | undefined;
  /** Requests that may wait. */
  queue = 2;
  readonly falls: Fall[] = [];
  readonly arrivals: { atMs: number; attempt: string; ran: boolean }[] = [];
  /** Called when it has fallen over. */
  onFall: () => void = () => undefined;
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;
  private born = Date.now();
  private seq = 0;
  private rejections: Rejection[] = [];
  private present = 0;
  private turn: Promise<void> = Promise.resolve();

  constructor(
    readonly id: string,
    readonly port: number,
    readonly service: string,
    private readonly workMs: number,
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
    this.seq = 0;
    this.present = 0;
    this.rejections = [];
    this.turn = Promise.resolve();
  }

  entry(state: "ready" | "draining" = "ready"): Record<string, unknown> {
    const { service, port, born } = this;
    this.seq += 1;
    const place = { service, address: `127.0.0.1:${port}`, zone: "zone-a", slots: 1 };
    return { ...place, version: "1", state, "cold-left-ms": 0, seq: this.seq, born };
  }

  async crash(): Promise<void> {
    const { server } = this;
    if (server === undefined) return;
    this.server = undefined;
    const closed = new Promise((resolve) => server.close(resolve));
    for (const socket of this.sockets) socket.resetAndDestroy();
    await closed;
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { server } = this;
    const { url = "", headers } = request;
    await drain(request).catch(() => undefined);
    if (this.server !== server) return;
    if (this.tolerated !== undefined) response.setHeader("server-brittle", String(this.tolerated));
    if (url.startsWith("/nutmegstage/")) {
      response.writeHead(200, { "content-type": "application/json" }).end("{}");
      return;
    }
    if (headers["nutmegstage-expect-replica"] !== this.id) {
      response.writeHead(421, { "nutmegstage-replica-id": this.id }).end();
      return;
    }
    const attempt = (headers["nutmegstage-attempt-id"] as string | undefined) ?? "";
    const ran = this.present <= this.queue;
    this.arrivals.push({ atMs: Date.now(), attempt, ran });
    if (!ran) {
      this.reject(attempt, response);
      return;
    }
    this.present += 1;
    // One request at a time.
    const work = this.turn.then(() => sleep(this.workMs));
    this.turn = work;
    await work;
    if (this.server !== server) return;
    this.present -= 1;
    response.writeHead(200, {
      "nutmegstage-attempt-id": attempt,
      "nutmegstage-replica-stamp": `stamp.${this.id}`,
      "content-type": "text/plain",
    });
    response.end(`answer to ${attempt}`);
  }

  private reject(attempt: string, response: ServerResponse): void {
    const atMs = Date.now();
    response.writeHead(503, { "nutmegstage-not-executed": "1" }).end();
    this.rejections = this.rejections.filter((each) => atMs - each.atMs < COUNTED_MS);
    this.rejections.push({ atMs, attempt });
    if (this.tolerated === undefined || this.rejections.length <= this.tolerated) return;
    const rejected = [...this.rejections];
    this.falls.push({ atMs, replica: this.id, rejected, lost: this.present });
    this.onFall();
  }
}
