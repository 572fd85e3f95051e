import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";

const OK = 200;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const SECOND_MS = 1_000;
const DOWN_MS = 2_000;

/** A stand-in of an upstream without a queue that ends when it turns too many requests away. */
export class BrittleUpstream {
  /** Times at which it ended, since the epoch in ms. */
  readonly falls: number[] = [];
  served = 0;
  rejected = 0;
  private running = 0;
  private boots = 1;
  private rejections: number[] = [];
  private restart: NodeJS.Timeout | undefined;
  private server: Server | undefined;

  private constructor(
    private readonly name: string,
    private readonly port: number,
    private readonly settings: BrittleSettings,
  ) {}

  static async create(
    name: string,
    port: number,
    settings: BrittleSettings,
  ): Promise<BrittleUpstream> {
    const upstream = new BrittleUpstream(name, port, settings);
    await upstream.listen();
    return upstream;
  }

  async stop(): Promise<void> {
    clearTimeout(this.restart);
    this.server?.closeAllConnections();
    if (this.server?.listening === true)
      await new Promise((resolve) => this.server?.close(resolve));
  }

  private get id(): string {
    return `${this.name}-${this.boots}`;
  }

  private async listen(): Promise<void> {
    const server = createServer((request, response) => {
      void this.answer(request, response);
    });
    this.server = server;
    await new Promise<void>((resolve) => server.listen(this.port, "127.0.0.1", resolve));
    this.settings.register(this.id, {
      ...{ service: "pool", address: `127.0.0.1:${this.port}`, zone: "a", state: "ready" },
      ...{ slots: this.settings.slots, seq: 1, born: Date.now() },
    });
  }

  private async answer({ headers }: IncomingMessage, response: ServerResponse): Promise<void> {
    const { slots, tolerated, workMs } = this.settings;
    response.setHeader("server-brittle", String(tolerated));
    if (headers["nutmegstage-expect-replica"] !== this.id) {
      response.writeHead(MISDIRECTED).end();
      return;
    }
    if (this.running >= slots) {
      response.writeHead(UNAVAILABLE, { "nutmegstage-not-executed": "1" }).end();
      this.reject();
      return;
    }
    this.running += 1;
    await new Promise((resolve) => setTimeout(resolve, workMs));
    this.running -= 1;
    this.served += 1;
    response.writeHead(OK, {
      "nutmegstage-attempt-id": headers["nutmegstage-attempt-id"],
      "nutmegstage-replica-stamp": `stamp-${this.id}`,
    });
    response.end("answer");
  }

  private reject(): void {
    const { server } = this;
    if (server?.listening !== true) return;
    const now = Date.now();
    this.rejected += 1;
    this.rejections = [...this.rejections.filter((atMs) => atMs > now - SECOND_MS), now];
    if (this.rejections.length <= this.settings.tolerated) return;
    this.falls.push(now);
    this.rejections = [];
    this.settings.register(this.id, undefined);
    this.boots += 1;
    server.closeAllConnections();
    server.close();
    this.restart = setTimeout(() => void this.listen(), DOWN_MS);
  }
}

/** What the upstreams of a service have in common. */
export interface BrittleSettings {
  readonly slots: number;
  readonly workMs: number;
  /** Requests turned away in a second that it bears. */
  readonly tolerated: number;
  /** Called with the store's row of an upstream; undefined removes the row. */
  readonly register: (id: string, entry: Record<string, unknown> | undefined) => void;
}
