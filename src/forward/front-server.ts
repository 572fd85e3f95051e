import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type FastifyInstance, fastify } from "fastify";
import type { BufferBudget } from "../buffer/buffer-budget.js";
import { answerConnectionError } from "../http/connection-error.js";
import type { RandomSource } from "../random/random-source.js";
import type { Timers } from "../time/timers.js";
import { CallerBody } from "../intake/caller-body.js";
import type { CallerConnection } from "../intake/caller-connection.js";
import type { CallerConnections } from "../intake/caller-connections.js";
import type { CallerLosses } from "../intake/caller-losses.js";
import { LossReason } from "../intake/loss-reason.js";
import type { UnreadResponses } from "../intake/unread-responses.js";
import { ResponseWriter } from "./response-writer.js";
import type { RequestForwarder } from "./request-forwarder.js";
import type { RouteView } from "./route-view.js";

const MAX_HEADER_BYTES = 65_536;
/** Callers keep the configured time limits; connections are closed this much later. */
const TIMEOUT_MARGIN_MS = 1_000;
/** Time limits in force until the first configuration arrives. */
const INITIAL_IDLE_TIMEOUT_MS = 60_000;
const INITIAL_HEADER_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/**
 * Time for which the rest of a refused body is read. A connection that is closed before that is
 * reset, and the caller may lose the response.
 */
const DISCARD_MS = 1_000;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly routeView: RouteView;
  readonly requestForwarder: RequestForwarder;
  readonly bufferBudget: BufferBudget;
  readonly callers: { readonly host: string; readonly port: number };
  readonly callerConnections: CallerConnections;
  readonly callerLosses: CallerLosses;
  readonly unreadResponses: UnreadResponses;
}

/** HTTP server for callers; passes each request to the forwarder. */
export class FrontServer {
  private openRequests = 0;
  private closing = false;

  private constructor(
    private readonly parts: Parts,
    private readonly server: FastifyInstance,
  ) {}

  static create(parts: Parts): FrontServer {
    const server = fastify({
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
      forceCloseConnections: true,
      exposeHeadRoutes: false,
      http: {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      },
      clientErrorHandler: (error, socket) => {
        answerConnectionError(error, socket, frontServer.openRequests > 0, parts.random);
      },
    });
    const frontServer = new FrontServer(parts, server);
    (server as { server: Server }).server.prependListener("connection", (socket: Socket) => {
      parts.callerConnections.add(socket);
    });
    frontServer.addRoutes();
    parts.routeView.subscribe(({ limits }) => {
      const { server: http } = server as { server: Server };
      http.keepAliveTimeout = limits.idleTimeoutMs + TIMEOUT_MARGIN_MS;
      http.headersTimeout = limits.headerTimeoutMs + TIMEOUT_MARGIN_MS;
    });
    return frontServer;
  }

  /** Number of requests that have arrived whole and whose response has not ended. */
  get inProgress(): number {
    return this.openRequests;
  }

  async listen(): Promise<void> {
    await this.server.listen(this.parts.callers);
  }

  /** Closes each connection after its next response. */
  startClosing(): void {
    this.closing = true;
  }

  /** Closes connections on which no request is in progress. */
  closeIdle(): void {
    (this.server as { server: Server }).server.closeIdleConnections();
  }

  async close(): Promise<void> {
    await this.server.close();
  }

  private addRoutes(): void {
    const { server } = this;
    // The forwarder reads the body, so the server must not.
    server.addHook("onRequest", (request, reply) => {
      reply.hijack();
      const { raw } = request;
      const connection = this.parts.callerConnections.of(raw.socket);
      const arrivedMs = this.parts.timers.now();
      connection?.begin(reply.raw, () => void this.serve(raw, reply.raw, connection, arrivedMs));
    });
    server.all("/*", () => undefined);
  }

  private async serve(
    raw: IncomingMessage,
    response: ServerResponse,
    connection: CallerConnection,
    arrivedMs: number,
  ): Promise<void> {
    const { timers, bufferBudget, callerLosses, requestForwarder, unreadResponses } = this.parts;
    const callerClosed = new AbortController();
    const body = CallerBody.create(raw, bufferBudget, timers, (owner) => {
      callerLosses.record(LossReason.BodyMemory, owner);
    });
    let arrived = false;
    response.once("close", () => {
      if (arrived) this.openRequests -= 1;
      if (!response.writableFinished) callerClosed.abort();
      body.clear();
    });
    const head = {
      method: raw.method ?? "GET",
      target: raw.url ?? "/",
      headers: raw.headers,
      rawHeaders: raw.rawHeaders,
      arrivedMs,
      signal: callerClosed.signal,
    };
    const readBody = async (
      maxBytes: number,
      signal: AbortSignal,
      owner: string,
    ): Promise<Buffer> => {
      connection.owner = owner;
      const bytes = await body.read(maxBytes, signal, owner);
      if (response.closed) return bytes;
      arrived = true;
      this.openRequests += 1;
      return bytes;
    };
    await requestForwarder.serve(
      head,
      readBody,
      ResponseWriter.create(response, () => this.closing, unreadResponses),
    );
    if (!raw.complete) this.discardRest(raw, response);
  }

  private discardRest(raw: IncomingMessage, response: ServerResponse): void {
    raw.resume();
    const closeLater = (): void => {
      this.parts.timers.after(DISCARD_MS, () => {
        if (!raw.complete) raw.socket.destroy();
      });
    };
    // The response waits for those to earlier requests on the connection.
    if (response.writableFinished) closeLater();
    else response.once("finish", closeLater);
  }
}
