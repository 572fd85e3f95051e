import bearerAuth from "@fastify/bearer-auth";
import { type FastifyInstance, type FastifyRequest, fastify } from "fastify";
import { JSONRPCServer, createJSONRPCErrorResponse } from "json-rpc-2.0";
import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { PeerSettings } from "./peer-settings.js";
import type { PeerMethod } from "./peer-method.js";
import type { PeerHandler, PeerMethods } from "./peer-methods.js";
import { rpcErrorOf } from "./rpc-error.js";

/** Header that names the calling instance. */
export const INSTANCE_HEADER = "x-instance-id";
export const RPC_PATH = "/rpc";
/** Calls in progress in total; the memory for bodies stays below this many body limits. */
const MAX_CALLS = 256;
/** Calls in progress of one instance, so that a faulty peer leaves room for the others. */
const MAX_CALLS_PER_INSTANCE = 32;
const MAX_CONNECTIONS = 2_048;
/** Node checks for requests that exceed their time limit only at this interval. */
const TIMEOUT_CHECK_MS = 500;

const callSchema = z.object({
  jsonrpc: z.literal("2.0"),
  id: z.union([z.string().max(64), z.number()]),
  method: z.string().max(64),
  params: z.unknown(),
});
const instanceSchema = z.string().min(1).max(63);

/** The JSON-RPC interface of this daemon for the other daemons. */
export class PeerServer implements PeerMethods {
  private readonly rpc = new JSONRPCServer<string>({ errorListener: () => undefined });
  private readonly callsOf = new Map<string, number>();
  private calls = 0;

  private constructor(
    private readonly settings: PeerSettings,
    private readonly server: FastifyInstance,
  ) {}

  static create(parts: { settings: PeerSettings }): PeerServer {
    const { limits, peers } = parts.settings;
    const server = fastify({
      bodyLimit: limits.bodyBytes,
      requestTimeout: limits.requestTimeoutMs,
      forceCloseConnections: true,
      http: {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: Math.min(limits.headersTimeoutMs, limits.requestTimeoutMs),
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      },
    });
    server.server.maxConnections = MAX_CONNECTIONS;
    void server.register(bearerAuth, { keys: new Set([peers.secret]) });
    const peerServer = new PeerServer(parts.settings, server);
    peerServer.addRoutes();
    return peerServer;
  }

  register(method: PeerMethod, handler: PeerHandler): void {
    if (this.rpc.hasMethod(method)) {
      throw ServeError.create(ErrorKind.Internal, `method "${method}" is registered already`);
    }
    this.rpc.addMethod(method, handler);
  }

  async listen(): Promise<void> {
    const { host, port } = this.settings.peers;
    await this.server.listen({ host, port });
  }

  async close(): Promise<void> {
    await this.server.close();
  }

  private addRoutes(): void {
    const { server } = this;
    this.rpc.mapErrorToJSONRPCErrorResponse = (id, error: unknown) => {
      const { code, message, data } = rpcErrorOf(error);
      return createJSONRPCErrorResponse(id, code, message, data);
    };
    server.removeContentTypeParser("text/plain");
    server.post(RPC_PATH, (request) => this.answer(request));
    // Without this, Node reads the rest of a refused body, however long it is.
    server.addHook("onSend", (_request, reply, _payload, done) => {
      if (reply.statusCode >= 400) reply.header("connection", "close");
      done();
    });
  }

  private async answer(request: FastifyRequest): Promise<unknown> {
    const call = callSchema.safeParse(request.body);
    const from = instanceSchema.safeParse(request.headers[INSTANCE_HEADER]);
    if (!call.success || !from.success) {
      throw Object.assign(new Error("not a JSON-RPC 2.0 call of an instance"), { statusCode: 400 });
    }
    const { id } = call.data;
    const calls = this.callsOf.get(from.data) ?? 0;
    if (this.calls >= MAX_CALLS || calls >= MAX_CALLS_PER_INSTANCE) {
      const busy = ServeError.create(ErrorKind.Overloaded, "too many calls are in progress");
      return this.rpc.mapErrorToJSONRPCErrorResponse(id, busy);
    }
    this.count(from.data, 1);
    try {
      return await this.rpc.receive(call.data, from.data);
    } finally {
      this.count(from.data, -1);
    }
  }

  private count(instance: string, change: 1 | -1): void {
    this.calls += change;
    const calls = (this.callsOf.get(instance) ?? 0) + change;
    if (calls === 0) this.callsOf.delete(instance);
    else this.callsOf.set(instance, calls);
  }
}
