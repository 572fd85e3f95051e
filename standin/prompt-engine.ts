import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";

const PREFILL_MS = 100;
/** Time from the head of a response to the crash, or to the first event. */
const FIRST_EVENT_MS = 10;
const EVENTS = 4;
const EVENT_MS = 20;
const DOWN_MS = 1_500;
const SLOTS = 16;
const OK = 200;

/** A request that reached an engine. */
export interface PromptArrival {
  /** Time since the epoch in ms. */
  readonly atMs: number;
  readonly attemptId: string;
  readonly parts: readonly string[];
  /** Whether the engine began to respond. */
  begun: boolean;
}

/** What the engines of a service have in common. */
export interface PromptEngineSite {
  /** The part that crashes an engine as it begins a response to it; never the last one. */
  readonly deadlyParts: ReadonlySet<string>;
  /** Called with the store's row of an engine; undefined removes the row. */
  readonly register: (id: string, entry: Record<string, unknown> | undefined) => void;
  readonly arrivals: PromptArrival[];
  /** Times of crashes since the epoch in ms. */
  readonly crashes: number[];
}

/** A stand-in of an engine that reads prompts of several parts; it comes back under a new ID. */
export class PromptEngine {
  private boots = 0;
  private server: Server | undefined;
  private restart: NodeJS.Timeout | undefined;

  private constructor(
    private readonly name: string,
    private readonly port: number,
    private readonly site: PromptEngineSite,
  ) {}

  static async create(name: string, port: number, site: PromptEngineSite): Promise<PromptEngine> {
    const engine = new PromptEngine(name, port, site);
    await engine.boot();
    return engine;
  }

  async stop(): Promise<void> {
    clearTimeout(this.restart);
    const { server } = this;
    server?.closeAllConnections();
    if (server?.listening === true) await new Promise((resolve) => server.close(resolve));
  }

  private get id(): string {
    return `${this.name}-${this.boots}`;
  }

  private async boot(): Promise<void> {
    this.boots += 1;
    const server = createServer((request, response) => {
      void this.answer(server, request, response);
    });
    this.server = server;
    await new Promise<void>((resolve) => server.listen(this.port, "127.0.0.1", resolve));
    this.site.register(this.id, {
      ...{ service: "pool", address: `127.0.0.1:${this.port}`, zone: "a", slots: SLOTS },
      ...{ state: "ready", seq: 1, born: Date.now() },
    });
  }

  private async answer(
    server: Server,
    { headers }: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = (name: string): string => String(headers[name] ?? "");
    const parts = text("nutmegstage-prompt-prefix")
      .split(",")
      .map((entry) => entry.split(":", 1)[0] ?? "");
    const attemptId = text("nutmegstage-attempt-id");
    const arrival = { atMs: Date.now(), attemptId, parts, begun: false };
    if (text("nutmegstage-expect-replica") !== this.id) {
      response.writeHead(421).end();
      return;
    }
    this.site.arrivals.push(arrival);
    await pause(PREFILL_MS);
    if (server !== this.server || response.destroyed) return;
    arrival.begun = true;
    response.writeHead(OK, {
      "nutmegstage-attempt-id": attemptId,
      "nutmegstage-replica-stamp": `stamp-${this.id}`,
      "content-type": "text/event-stream",
    });
    response.flushHeaders();
    await pause(FIRST_EVENT_MS);
    if (parts.slice(0, -1).some((part) => this.site.deadlyParts.has(part))) {
      this.crash(server);
      return;
    }
    const first = Number(headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= EVENTS; event += 1) {
      response.write(`id: ${event}\ndata: token ${event}\n\n`);
      await pause(EVENT_MS);
    }
    response.end();
  }

  private crash(server: Server): void {
    if (server !== this.server) return;
    this.site.crashes.push(Date.now());
    this.site.register(this.id, undefined);
    this.server = undefined;
    server.closeAllConnections();
    server.close();
    this.restart = setTimeout(() => void this.boot(), DOWN_MS);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
