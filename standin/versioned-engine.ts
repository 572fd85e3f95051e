import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";

const OK = 200;
const MISDIRECTED = 421;
const SLOTS = 64;

/** How an engine streams, until it is changed. */
export interface StreamPace {
  /** Events of a whole stream. */
  readonly events: number;
  readonly eventMs: number;
  /** Events of one response after which it breaks off inside the next one; infinite for never. */
  readonly breakAfter: number;
}

/**
 * A stand-in of an engine of one software version. Each event holds the version that wrote it, and
 * a stream is continued after any event, as engines do not check which version began it.
 */
export class VersionedEngine {
  pace: StreamPace = { events: 5, eventMs: 20, breakAfter: Infinity };
  /** Requests that it ran. */
  runs = 0;

  private constructor(
    readonly id: string,
    readonly version: string | undefined,
    private readonly port: number,
    private readonly server: Server,
  ) {}

  static async create(
    id: string,
    version: string | undefined,
    port: number,
  ): Promise<VersionedEngine> {
    const server = createServer((request, response) => {
      void engine.answer(request, response);
    });
    const engine = new VersionedEngine(id, version, port, server);
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
    return engine;
  }

  /** The entry with which it registers itself. */
  get entry(): Record<string, unknown> {
    const { version } = this;
    return {
      ...{ service: "pool", address: `127.0.0.1:${this.port}`, zone: "a", slots: SLOTS },
      ...{ state: "ready", seq: 1, born: 1 },
      ...(version === undefined ? {} : { version }),
    };
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    if (this.server.listening) await new Promise((resolve) => this.server.close(resolve));
  }

  private async answer({ headers }: IncomingMessage, response: ServerResponse): Promise<void> {
    if (headers["nutmegstage-expect-replica"] !== this.id) {
      response.writeHead(MISDIRECTED).end();
      return;
    }
    this.runs += 1;
    response.writeHead(OK, {
      "nutmegstage-attempt-id": headers["nutmegstage-attempt-id"],
      "nutmegstage-replica-stamp": `stamp-${this.id}`,
      "content-type": "text/event-stream",
    });
    response.flushHeaders();
    const { events, eventMs, breakAfter } = this.pace;
    const first = Number(headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= events && !response.destroyed; event += 1) {
      if (event >= first + breakAfter) {
        response.write(`id: ${event}\ndata: wor`);
        response.destroy();
        return;
      }
      response.write(`id: ${event}\ndata: word ${event} of ${this.version ?? "none"}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, eventMs));
    }
    response.end();
  }
}
