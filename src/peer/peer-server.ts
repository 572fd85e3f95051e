import bearerAuth from "@fastify/bearer-auth";
import websocket, { type WebSocket } from "@fastify/websocket";
import { type FastifyInstance, type FastifyReply, type FastifyRequest, fastify } from "fastify";
import {
  type JSONRPCRequest,
  type JSONRPCResponse,
  JSONRPCServer,
  createJSONRPCErrorResponse,
} from "json-rpc-2.0";
import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { CallRider } from "./call-rider.js";
import { MessageBatch } from "./message-batch.js";
import type { PeerSettings } from "./peer-settings.js";
import type { PeerMethod } from "./peer-method.js";
import type { PeerHandler, PeerMethods } from "./peer-methods.js";
import { rpcErrorOf } from "./rpc-error.js";

/** Header that names the calling instance. */
export const INSTANCE_HEADER = "x-instance-id";
export const RPC_PATH = "/rpc";
/** Calls in progress of one instance, so that a faulty peer leaves capacity to the others. */
export const MAX_CALLS_PER_INSTANCE = 64;
/** Calls in progress in total; each holds its parameters in memory. */
const MAX_TOTAL_CALLS = 1_024;
const MAX_CONNECTIONS = 2_048;
/** Node checks for requests that exceed their time limit only at this interval. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

const callsSchema = z.union([z.array(z.unknown()).min(1), z.unknown().transform((one) => [one])]);
const callSchema = z.object({
  jsonrpc: z.literal("2.0"),
  id: z.union([z.string().max(64), z.number()]),
  method: z.string().max(64),
  params: z.unknown(),
  carried: z.unknown().optional(),
});

interface Parts {
  readonly settings: PeerSettings;
  readonly callRider?: CallRider | undefined;
}

type CarryingCall = JSONRPCRequest & { readonly carried?: unknown };
const instanceSchema = z.string().min(1).max(63);

/** The JSON-RPC interface of this daemon for the other daemons: batches over persistent WebSockets. */
export class PeerServer implements PeerMethods {
  private readonly rpc = new JSONRPCServer<string>({ errorListener: () => undefined });
  private readonly callsByInstance = new Map<string, number>();
  private totalCalls = 0;

  private constructor(
    private readonly settings: PeerSettings,
    private readonly server: FastifyInstance,
    private readonly callRider: CallRider | undefined,
  ) {}

  static create(parts: Parts): PeerServer {
    const { limits, peers } = parts.settings;
    const server = fastify({
      bodyLimit: limits.bodyBytes,
      requestTimeout: limits.requestTimeoutMs,
      forceCloseConnections: true,
      http: {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: Math.min(limits.headersTimeoutMs, limits.requestTimeoutMs),
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      },
    });
    server.server.maxConnections = MAX_CONNECTIONS;
    void server.register(websocket, {
      options: { maxPayload: limits.bodyBytes, perMessageDeflate: false, skipUTF8Validation: true },
      // A peer that no longer answers would keep the server from closing.
      preClose: (done) => {
        for (const socket of server.websocketServer.clients) socket.terminate();
        done();
      },
    });
    // Registered after the WebSocket plugin, which closes the connection of a refused upgrade.
    void server.register(bearerAuth, { keys: new Set([peers.secret]) });
    const peerServer = new PeerServer(parts.settings, server, parts.callRider);
    peerServer.addRoutes();
    return peerServer;
  }

  register(method: PeerMethod, handler: PeerHandler): void {
    if (this.rpc.hasMethod(method)) {
      throw ServeError.create(ErrorKind.Internal, `method "${method}" is already registered`);
    }
    this.rpc.addMethod(method, handler);
  }

  /** Handles POST requests with a path; must be called before `listen`. */
  handlePosts(
    path: string,
    handler: (request: FastifyRequest, reply: FastifyReply) => Promise<void>,
  ): void {
    void this.server.register((scope, _options, done) => {
      scope.removeAllContentTypeParsers();
      scope.addContentTypeParser("*", { parseAs: "buffer" }, (_request, body, parsed) => {
        parsed(null, body);
      });
      scope.post(path, handler);
      done();
    });
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
    void server.register((scope, _options, done) => {
      scope.get(RPC_PATH, { websocket: true }, (socket, request) => {
        this.handleConnection(socket, request);
      });
      done();
    });
    // Without this, Node reads the rest of a refused body, whatever its length.
    server.addHook("onSend", (_request, reply, _payload, done) => {
      if (reply.statusCode >= 400) reply.header("connection", "close");
      done();
    });
  }

  private handleConnection(socket: WebSocket, request: FastifyRequest): void {
    // A WebSocket closes after each error, and the peer calls on another connection.
    socket.on("error", () => undefined);
    const from = instanceSchema.safeParse(request.headers[INSTANCE_HEADER]);
    if (!from.success) {
      socket.terminate();
      return;
    }
    const batch = MessageBatch.create(socket);
    socket.on("message", (data: Buffer) => {
      const calls = parseCalls(data);
      if (calls === undefined) {
        socket.terminate();
        return;
      }
      for (const { carried, ...call } of calls) {
        if (carried !== undefined) this.callRider?.receive(from.data, carried);
        void this.handleCall(call, from.data).then((response) => {
          const answer = this.callRider?.outgoing(from.data);
          batch.add(answer === undefined ? response : { ...response, carried: answer });
        });
      }
    });
  }

  private async handleCall(call: JSONRPCRequest, from: string): Promise<JSONRPCResponse> {
    const id = call.id ?? null;
    const calls = this.callsByInstance.get(from) ?? 0;
    if (this.totalCalls >= MAX_TOTAL_CALLS || calls >= MAX_CALLS_PER_INSTANCE) {
      const overloaded = ServeError.create(
        ErrorKind.Overloaded,
        "too many calls from peers are in progress",
      );
      return this.rpc.mapErrorToJSONRPCErrorResponse(id, overloaded);
    }
    this.adjustCallCount(from, 1);
    try {
      const response = await this.rpc.receive(call, from);
      return response ?? this.rpc.mapErrorToJSONRPCErrorResponse(id, new Error("no response"));
    } finally {
      this.adjustCallCount(from, -1);
    }
  }

  private adjustCallCount(instance: string, change: 1 | -1): void {
    this.totalCalls += change;
    const calls = (this.callsByInstance.get(instance) ?? 0) + change;
    if (calls === 0) this.callsByInstance.delete(instance);
    else this.callsByInstance.set(instance, calls);
  }
}

/** The calls of a message; undefined if it holds anything else. */
function parseCalls(data: Buffer): CarryingCall[] | undefined {
  try {
    return callsSchema.parse(JSON.parse(data.toString())).map((call) => callSchema.parse(call));
  } catch {
    // The closed connection tells the sender.
    return undefined;
  }
}
