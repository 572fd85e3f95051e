import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { constants } from "node:zlib";
import compress from "@fastify/compress";
import { type FastifyInstance, fastify } from "fastify";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { RandomSource } from "../random/random-source.js";
import type { Settings } from "../settings/settings.js";
import { answerConnectionError } from "./connection-error.js";
import { replyWithError } from "./problem-reply.js";

/** Node looks for slow senders only this often; its default of 30 s exceeds the limits. */
const SLOW_SENDER_CHECK_MS = 500;
const LONGEST_PATH_PART = 256;
const COMPRESSED = /^(text\/event-stream|application\/(problem\+)?json)/;

/** Responses in progress of each connection. */
type ActiveResponses = WeakMap<Socket, Set<ServerResponse>>;

/** Creates a fastify server with the limits of the settings that answers errors with problems. */
export function createLimitedServer(
  limits: Settings["limits"],
  random: RandomSource,
): FastifyInstance {
  const active: ActiveResponses = new WeakMap();
  const server = fastify({
    bodyLimit: limits.bodyBytes,
    requestTimeout: limits.requestTimeoutMs,
    maxRequestsPerSocket: limits.requestsPerConnection,
    routerOptions: { maxParamLength: LONGEST_PATH_PART },
    http: {
      maxHeaderSize: limits.headerBytes,
      // Node refuses a headers timeout above the request timeout.
      headersTimeout: Math.min(limits.headersTimeoutMs, limits.requestTimeoutMs),
      connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
    },
    clientErrorHandler: (error, socket) => {
      answerConnectionError(error, socket, isResponding(active.get(socket)), random);
    },
    frameworkErrors: (error, _request, reply) => {
      replyWithError(reply, error, random);
    },
  });
  server.server.maxConnections = limits.connections;
  // Each event must leave at once, so the compressors flush after every write.
  void server.register(compress, {
    customTypes: (type) => COMPRESSED.test(type),
    zlibOptions: { flush: constants.Z_SYNC_FLUSH },
    brotliOptions: { flush: constants.BROTLI_OPERATION_FLUSH },
  });
  limitConcurrency(server, active, limits.concurrentRequestsPerConnection);
  server.setErrorHandler((error, _request, reply) => replyWithError(reply, error, random));
  server.setNotFoundHandler((request, reply) => {
    const detail = `${request.method} ${request.url}`;
    return replyWithError(reply, ServeError.create(ErrorKind.UnknownRoute, detail), random);
  });
  return server;
}

/** Whether a response has begun, or belongs to a request that arrived whole and may have run. */
function isResponding(responses: ReadonlySet<ServerResponse> = new Set()): boolean {
  return [...responses].some((response) => response.headersSent || response.req.complete);
}

/** A connection that pipelines its requests must not occupy the instance alone. */
function limitConcurrency(server: FastifyInstance, active: ActiveResponses, most: number): void {
  server.addHook("onRequest", (request, reply, done) => {
    const { socket } = request;
    const responses = active.get(socket) ?? new Set();
    active.set(socket, responses.add(reply.raw));
    reply.raw.once("close", () => {
      responses.delete(reply.raw);
    });
    if (responses.size <= most) done();
    else {
      const detail = `at most ${most} requests may be in progress on one connection`;
      done(ServeError.create(ErrorKind.TooManyConnections, detail));
    }
  });
}
