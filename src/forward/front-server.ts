import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { type FastifyInstance, fastify } from "fastify";
import { answerConnectionError } from "../http/connection-error.js";
import type { RandomSource } from "../random/random-source.js";
import type { Timers } from "../time/timers.js";
import { ResponseWriter } from "./response-writer.js";
import type { RequestForwarder } from "./request-forwarder.js";
import type { RouteView } from "./route-view.js";

/** Above any configured limit; the configured one is checked after the body has arrived. */
const MAX_BODY_BYTES = 16_777_216;
const MAX_HEADER_BYTES = 65_536;
/** Callers keep the configured time limits; connections are closed this much later. */
const TIMEOUT_MARGIN_MS = 1_000;
/** Time limits in force until the first configuration arrives. */
const INITIAL_IDLE_TIMEOUT_MS = 60_000;
const INITIAL_HEADER_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly routeView: RouteView;
  readonly requestForwarder: RequestForwarder;
  readonly callers: { readonly host: string; readonly port: number };
}

/** HTTP server for callers; buffers each request and passes it to the forwarder. */
export class FrontServer {
  private readonly arrivalTimes = new WeakMap<IncomingMessage, number>();
  private openRequests = 0;
  private closing = false;

  private constructor(
    private readonly parts: Parts,
    private readonly server: FastifyInstance,
  ) {}

  static create(parts: Parts): FrontServer {
    const server = fastify({
      bodyLimit: MAX_BODY_BYTES,
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
    frontServer.addRoutes();
    parts.routeView.subscribe(({ limits }) => {
      const { server: http } = server as { server: Server };
      http.keepAliveTimeout = limits.idleTimeoutMs + TIMEOUT_MARGIN_MS;
      http.headersTimeout = limits.headerTimeoutMs + TIMEOUT_MARGIN_MS;
    });
    return frontServer;
  }

  /** Number of requests whose response has not ended. */
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
    server.removeAllContentTypeParsers();
    server.addContentTypeParser("*", { parseAs: "buffer" }, (_request, body, done) => {
      done(null, body);
    });
    server.addHook("onRequest", (request, _reply, done) => {
      this.arrivalTimes.set(request.raw, this.parts.timers.now());
      done();
    });
    server.all("/*", async (request, reply) => {
      reply.hijack();
      const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
      await this.serve(request.raw, reply.raw, body);
    });
  }

  private async serve(raw: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
    const callerClosed = new AbortController();
    response.once("close", () => {
      this.openRequests -= 1;
      if (!response.writableFinished) callerClosed.abort();
    });
    this.openRequests += 1;
    const writer = ResponseWriter.create(response, () => this.closing);
    const request = {
      method: raw.method ?? "GET",
      target: raw.url ?? "/",
      headers: raw.headers,
      rawHeaders: raw.rawHeaders,
      body,
      arrivedMs: this.arrivalTimes.get(raw) ?? this.parts.timers.now(),
      signal: callerClosed.signal,
    };
    await this.parts.requestForwarder.serve(request, writer);
  }
}
