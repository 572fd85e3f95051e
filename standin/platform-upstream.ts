import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";
import type { Socket } from "node:net";
import { sendEndless } from "./endless-response.js";
import { UpstreamMode } from "./upstream-mode.js";

const EVENTS = 5;
const EVENT_MS = 20;
const TRICKLE_MS = 200;

/** A request as an upstream got it. */
export interface SeenRequest {
  /** Time since the epoch in ms. */
  readonly atMs: number;
  /** Id that the upstream had. */
  readonly upstream: string;
  readonly method: string;
  readonly url: string;
  readonly body: string;
  /** Whether it is one of the system's own calls: stage calls and releases. */
  readonly control: boolean;
  readonly attemptId: string;
  readonly team: string | undefined;
  readonly key: string | undefined;
  /** Time that the upstream is given, in ms. */
  readonly leftMs: number;
  /** Handles of results. */
  readonly inputs: readonly string[];
  /** Limit that the upstream stated then, in requests per second of all daemons. */
  readonly limit: number | undefined;
}

/** A small stand-in of one upstream: engine, plain service and stage service at once. */
export class PlatformUpstream {
  mode = UpstreamMode.Serving;
  /** Time to the first byte of an answer, in ms. */
  delayMs = 0;
  /** Bytes that are added to each answer and to each event of a stream. */
  addedBytes = 0;
  /** Whether all its answers say that it is leaving. */
  leaving = false;
  /** Version of its software; undefined for none. Its events name it. */
  version: string | undefined;
  /** Text of `Retry-After` in refusals. */
  retryAfter: string | undefined;
  /** Text of the limit that all its answers state, in requests per second of all daemons. */
  requestLimit: string | undefined;
  /** When it first stated a limit, since the epoch in ms. */
  firstLimitMs: number | undefined;
  /** Requests that it ran. */
  readonly ran: SeenRequest[] = [];
  /** Requests that reached it. */
  readonly seen: SeenRequest[] = [];
  readonly released: string[] = [];

  /** Copies that were sent in the place of answers. */
  copies = 0;
  private made = 0;
  /** Items of the last answer to a stage call, by connection. */
  private readonly earlier = new WeakMap<Socket, unknown>();

  private constructor(
    public id: string,
    readonly port: number,
    readonly address: string,
    private readonly server: Server,
  ) {}

  /** `address` is where others reach it; a link may stand before its port. */
  static async create(
    id: string,
    port: number,
    address = `127.0.0.1:${port}`,
  ): Promise<PlatformUpstream> {
    const server = createServer((request, response) => {
      void upstream.answer(request, response);
    });
    const upstream = new PlatformUpstream(id, port, address, server);
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
    return upstream;
  }

  /** The entry with which it registers itself. */
  entry(service: string, state = "ready"): Record<string, unknown> {
    const { address, version } = this;
    const entry = { service, address, zone: "a", slots: 4, state, seq: 1, born: 1 };
    return version === undefined ? entry : { ...entry, version };
  }

  /** The most requests that reached it in any span of a length, from a time on; both in ms. */
  mostRequestsWithin(spanMs: number, fromMs: number): number {
    const times = this.seen.flatMap(({ atMs }) => (atMs >= fromMs ? [atMs] : []));
    return Math.max(0, ...times.map((first) => countBetween(times, first, first + spanMs)));
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = request;
    if (this.leaving) response.setHeader("server-leaving", "1");
    if (this.requestLimit !== undefined) {
      response.setHeader("server-limit", this.requestLimit);
      this.firstLimitMs ??= Date.now();
    }
    const isStageCall = request.url === "/nutmegstage/stage-run";
    if (this.mode === UpstreamMode.DropsKept && isStageCall && this.earlier.has(socket)) {
      socket.resetAndDestroy();
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString();
    const { url = "", headers } = request;
    const seen = this.decode(request, body);
    this.seen.push(seen);
    if (headers["nutmegstage-expect-replica"] !== this.id && url !== "/nutmegstage/stage-free") {
      response.writeHead(421, { "nutmegstage-replica-id": this.id }).end();
      return;
    }
    if (this.mode === UpstreamMode.Full) {
      if (this.retryAfter !== undefined) response.setHeader("retry-after", this.retryAfter);
      response.writeHead(503, { "nutmegstage-not-executed": "1" }).end();
      return;
    }
    this.ran.push(seen);
    await new Promise((resolve) => setTimeout(resolve, this.delayMs));
    if (url === "/nutmegstage/stage-run") this.runStage(body, request, response);
    else if (url === "/nutmegstage/stage-free") this.free(body, response);
    else await this.run(seen, headers, response);
  }

  private decode({ method = "", url = "", headers }: IncomingMessage, body: string): SeenRequest {
    const text = (name: string): string | undefined => headers[name] as string | undefined;
    return {
      atMs: Date.now(),
      upstream: this.id,
      method,
      url,
      body,
      control: url.startsWith("/nutmegstage/"),
      attemptId: text("nutmegstage-attempt-id") ?? "",
      team: text("nutmegstage-tenant"),
      key: text("x-api-key"),
      leftMs: Number(text("nutmegstage-deadline-ms")),
      inputs: text("nutmegstage-inputs")?.split(",") ?? [],
      limit: this.requestLimit === undefined ? undefined : Number(this.requestLimit),
    };
  }

  private runStage(body: string, request: IncomingMessage, response: ServerResponse): void {
    const { items } = JSON.parse(body) as { items: { id: string; stage: number; piece: number }[] };
    const { socket } = request;
    const earlier = this.earlier.get(socket);
    if (this.mode === UpstreamMode.CopiesAnswers && earlier !== undefined) {
      this.copies += 1;
      json(response, { items: earlier });
      return;
    }
    this.made += 1;
    const made = items.map(({ id, stage, piece }) => ({
      handle: `${this.address}/${id}.${stage}.${piece}.${this.made}`,
    }));
    this.earlier.set(socket, made);
    json(response, { items: made });
  }

  private free(body: string, response: ServerResponse): void {
    this.released.push(...(JSON.parse(body) as { handles: string[] }).handles);
    json(response, {});
  }

  private async run(
    { url, attemptId: id }: SeenRequest,
    headers: IncomingMessage["headers"],
    response: ServerResponse,
  ): Promise<void> {
    const named = this.mode === UpstreamMode.AnswersOther ? "another" : id;
    response.setHeader("nutmegstage-attempt-id", named);
    response.setHeader("nutmegstage-replica-stamp", `stamp-${this.id}`);
    switch (this.mode) {
      case UpstreamMode.LosesAnswers:
        response.destroy();
        return;
      case UpstreamMode.Mute:
        return;
      case UpstreamMode.ResetsUnframed:
        response.useChunkedEncodingByDefault = false;
        response.removeHeader("transfer-encoding");
        response.write("half of ");
        await new Promise((resolve) => setTimeout(resolve, EVENT_MS));
        response.socket?.resetAndDestroy();
        return;
      case UpstreamMode.EndlessHead:
      case UpstreamMode.EndlessBody:
      case UpstreamMode.InterimHeads:
      case UpstreamMode.EmptyLines:
      case UpstreamMode.TinyChunks:
        sendEndless(response, this.mode);
        return;
      case UpstreamMode.Trickles:
        response.write("id: 1\ndata: ");
        while (!response.destroyed) {
          await new Promise((resolve) => setTimeout(resolve, TRICKLE_MS));
          response.write("x");
        }
        return;
      case UpstreamMode.CopiesAnswers:
      case UpstreamMode.DropsKept:
      case UpstreamMode.Serving:
      case UpstreamMode.BreaksOff:
      case UpstreamMode.AnswersOther:
      case UpstreamMode.Full:
        if (url.startsWith("/stream/")) await this.stream(headers, response);
        else response.end(`answer to ${id}${this.added}`);
    }
  }

  private get added(): string {
    return "x".repeat(this.addedBytes);
  }

  private async stream(
    headers: IncomingMessage["headers"],
    response: ServerResponse,
  ): Promise<void> {
    response.setHeader("content-type", "text/event-stream");
    const first = Number(headers["last-event-id"] ?? 0) + 1;
    const writer = this.version === undefined ? "" : ` of ${this.version}`;
    for (let event = first; event <= EVENTS; event += 1) {
      response.write(`id: ${event}\ndata: token ${event}${writer}${this.added}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, EVENT_MS));
      if (this.mode === UpstreamMode.BreaksOff && event >= first + 1) {
        response.write(`id: ${event + 1}\ndata: tok`);
        response.destroy();
        return;
      }
    }
    response.end();
  }
}

function countBetween(times: readonly number[], fromMs: number, toMs: number): number {
  return times.filter((atMs) => atMs >= fromMs && atMs < toMs).length;
}

function json(response: ServerResponse, body: unknown): void {
  response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(body));
}
