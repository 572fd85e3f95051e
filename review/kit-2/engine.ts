import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";
import type { Socket } from "node:net";
import { drain } from "./drain.js";
import { sleep } from "./site.js";

/** A request that reached an engine, or a piece that it was asked for. */
export interface Run {
  readonly atMs: number;
  readonly engine: string;
  readonly attempt: string;
  /** Why it did not run; undefined if it did. */
  readonly refused: string | undefined;
  readonly lastEventId: string | undefined;
}

/** How the answer of a run is lost. */
export enum Loss {
  None = "none",
  /** The channel is reset before the head of the answer. */
  BeforeHead = "before-head",
  /** The channel is reset after some events. */
  MidStream = "mid-stream",
}

/** How streams of an engine go. */
export interface EngineBehaviour {
  events: number;
  eventMs: number;
  loss: () => Loss;
  /** Requests a second that all its answers say it takes; undefined if they say nothing. */
  limit?: number;
}

/** Results of stages that stage replicas keep, by handle. */
export type Results = Set<string>;

/** A small model replica on loopback that answers by event streams and can resume them. */
export class Engine {
  readonly behaviour: EngineBehaviour = { events: 20, eventMs: 200, loss: () => Loss.None };
  readonly runs: Run[] = [];
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;
  private born = Date.now();
  private seq = 0;

  /** `results` are those of the stages; undefined if its requests have none. */
  constructor(
    readonly id: string,
    readonly port: number,
    readonly service: string,
    public version: string,
    private readonly results?: Results,
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
  }

  entry(state: "ready" | "draining" = "ready"): Record<string, unknown> {
    const { service, version, born } = this;
    this.seq += 1;
    const place = { service, address: `127.0.0.1:${this.port}`, zone: "zone-a", slots: 64 };
    return { ...place, version, state, "cold-left-ms": 0, seq: this.seq, born };
  }

  async crash(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    const closed = new Promise((resolve) => server?.close(resolve));
    for (const socket of this.sockets) socket.resetAndDestroy();
    if (server !== undefined) await closed;
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { url = "", headers } = request;
    const text = (name: string): string | undefined => headers[name] as string | undefined;
    await drain(request);
    if (url.startsWith("/nutmegstage/")) {
      response.writeHead(200, { "content-type": "application/json" }).end("{}");
      return;
    }
    const attempt = text("nutmegstage-attempt-id") ?? "";
    const lastEventId = text("last-event-id");
    const refused = this.refusal(text("nutmegstage-expect-replica"), text("nutmegstage-inputs"));
    this.runs.push({ atMs: Date.now(), engine: this.id, attempt, refused, lastEventId });
    response.setHeader("nutmegstage-attempt-id", attempt);
    const { limit } = this.behaviour;
    if (limit !== undefined) response.setHeader("server-limit", String(limit));
    if (refused !== undefined) {
      const status = refused === "another replica" ? 421 : 409;
      response.writeHead(status, { "nutmegstage-not-executed": "1" }).end();
      return;
    }
    const loss = this.behaviour.loss();
    if (loss === Loss.BeforeHead) {
      await sleep(this.behaviour.eventMs);
      response.socket?.resetAndDestroy();
      return;
    }
    await this.stream(Number(lastEventId ?? 0), loss, response);
  }

  private refusal(expected: string | undefined, inputs: string | undefined): string | undefined {
    if (expected !== this.id) return "another replica";
    const { results } = this;
    if (results === undefined) return undefined;
    const handles = (inputs ?? "").split(",").filter((each) => each !== "");
    return handles.every((each) => results.has(each)) ? undefined : "results gone";
  }

  private async stream(last: number, loss: Loss, response: ServerResponse): Promise<void> {
    const { events, eventMs } = this.behaviour;
    const lostAfter = loss === Loss.MidStream ? last + 2 : Infinity;
    response.writeHead(200, {
      "nutmegstage-replica-stamp": `stamp.${this.id}`,
      "content-type": "text/event-stream",
    });
    for (let event = last + 1; event <= events && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: token ${event} of ${this.version}\n\n`);
      await sleep(eventMs);
      if (event < lostAfter) continue;
      response.socket?.resetAndDestroy();
      return;
    }
    response.end();
  }
}

/** Lines of the record for what reached engines. */
export function runLines(engines: readonly Engine[]): (readonly [number, string])[] {
  return engines.flatMap(({ runs }) =>
    runs.map(({ atMs, engine, attempt, refused, lastEventId }) => {
      const what = refused === undefined ? "run" : `turned away (${refused})`;
      const from = lastEventId === undefined ? "" : ` after event ${lastEventId}`;
      return [atMs, `${what} ${attempt} at ${engine}${from}`] as const;
    }),
  );
}
