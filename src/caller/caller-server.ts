import { Readable } from "node:stream";
import { type FastifyInstance, type FastifyReply, type FastifyRequest, fastify } from "fastify";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { Readiness } from "../daemon/readiness.js";
import { ErrorKind } from "../error/error-kind.js";
import { problemOf } from "../error/problem.js";
import { ServeError } from "../error/serve-error.js";
import { requestBodySchema } from "../pipeline/request-body.js";
import type { RequestIntake } from "../pipeline/request-intake.js";
import type { RandomSource } from "../random/random-source.js";
import type { Settings } from "../settings/settings.js";
import { issueText } from "../settings/issue-text.js";
import type { AnswerLog } from "./answer-log.js";
import type { AnswerRecord } from "./answer-record.js";
import { credentialDigest } from "./credential.js";
import { eventText } from "./event-text.js";

interface Parts {
  readonly settings: Settings;
  readonly requestIntake: RequestIntake;
  readonly answerLog: AnswerLog;
  readonly configurationView: ConfigurationView;
  readonly random: RandomSource;
  readonly readiness: Readiness;
}

/** The HTTP API for callers. */
export class CallerServer {
  private constructor(
    private readonly parts: Parts,
    private readonly server: FastifyInstance,
  ) {}

  static create(parts: Parts): CallerServer {
    const { limits } = parts.settings;
    const server = fastify({
      bodyLimit: limits.bodyBytes,
      requestTimeout: limits.requestTimeoutMs,
      http: { maxHeaderSize: limits.headerBytes, headersTimeout: limits.headersTimeoutMs },
    });
    const callers = new CallerServer(parts, server);
    callers.addRoutes();
    return callers;
  }

  async listen(): Promise<void> {
    const { host, port } = this.parts.settings.callers;
    await this.server.listen({ host, port });
  }

  async close(): Promise<void> {
    await this.server.close();
  }

  private addRoutes(): void {
    const { server } = this;
    server.get("/healthz", () => ({ status: "ok" }));
    server.get("/readyz", () => {
      const { readiness, configurationView } = this.parts;
      if (readiness.ready && configurationView.configuration !== undefined)
        return { status: "ready" };
      throw ServeError.create(ErrorKind.NotReady, readiness.reasons.join(", "));
    });
    server.post("/v1/pipelines/:pipeline/requests", (request, reply) => this.start(request, reply));
    server.get("/v1/requests/:id/events", (request, reply) => this.events(request, reply));
    server.get("/v1/requests/:id", (request, reply) => this.answer(this.found(request), reply));
    server.setErrorHandler((error, _request, reply) => this.problem(error, reply));
    server.setNotFoundHandler((request, reply) =>
      this.problem(
        ServeError.create(ErrorKind.UnknownRoute, `${request.method} ${request.url}`),
        reply,
      ),
    );
  }

  private async start(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const team = this.team(request);
    const { pipeline } = request.params as { pipeline: string };
    const body = requestBodySchema.safeParse(request.body);
    if (!body.success) throw ServeError.create(ErrorKind.MalformedRequest, issueText(body.error));
    const key = request.headers["idempotency-key"];
    const record = this.parts.requestIntake.start({
      team,
      pipeline,
      body: body.data,
      idempotencyKey: typeof key === "string" ? key : undefined,
    });
    reply.header("x-request-id", record.request);
    return body.data.stream ? this.stream(record, 0, reply) : this.answer(record, reply);
  }

  private events(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    const after = Number(request.headers["last-event-id"] ?? 0);
    if (!Number.isSafeInteger(after) || after < 0) {
      throw ServeError.create(ErrorKind.MalformedRequest, "Last-Event-ID must be a whole number");
    }
    return this.stream(this.found(request), after, reply);
  }

  private stream(record: AnswerRecord, after: number, reply: FastifyReply): FastifyReply {
    const left = new AbortController();
    reply.raw.once("close", () => {
      left.abort();
    });
    return reply
      .header("content-type", "text/event-stream")
      .header("cache-control", "no-store")
      .send(Readable.from(eventTexts(record, after, left.signal)));
  }

  private async answer(record: AnswerRecord, reply: FastifyReply): Promise<FastifyReply> {
    let text = "";
    let result: unknown;
    for await (const { event } of record.follow(0, new AbortController().signal)) {
      switch (event.kind) {
        case "token":
          text += event.text;
          break;
        case "result":
          result = event.body;
          break;
        case "error":
          return reply
            .status(event.problem.status)
            .type("application/problem+json")
            .send(event.problem);
        case "end":
          return reply.send({
            id: record.request,
            text,
            result,
            length: event.length,
            digest: event.digest,
          });
      }
    }
    throw ServeError.create(ErrorKind.Internal, "the answer has no end");
  }

  private found(request: FastifyRequest): AnswerRecord {
    const team = this.team(request);
    const { id } = request.params as { id: string };
    const record = this.parts.answerLog.find(id);
    // The same answer for a foreign and for an unknown request: ids must not be guessable.
    if (record?.team !== team)
      throw ServeError.create(ErrorKind.UnknownRequest, `no request "${id}"`);
    return record;
  }

  private team(request: FastifyRequest): string {
    const digest = credentialDigest(request.headers.authorization);
    const team = digest && this.parts.configurationView.configuration?.teamOf(digest);
    if (team) return team;
    throw ServeError.create(ErrorKind.Unauthenticated, "send a known credential as a bearer token");
  }

  private problem(error: unknown, reply: FastifyReply): FastifyReply {
    const problem = problemOf(serveErrorOf(error), this.parts.random);
    if (problem.retryAfter !== undefined) reply.header("retry-after", problem.retryAfter);
    return reply.status(problem.status).type("application/problem+json").send(problem);
  }
}

async function* eventTexts(
  record: AnswerRecord,
  after: number,
  signal: AbortSignal,
): AsyncGenerator<string> {
  for await (const { id, event } of record.follow(after, signal)) yield eventText(id, event);
}

/** Maps fastify's own errors to error kinds. */
function serveErrorOf(error: unknown): ServeError {
  const status = (error as { statusCode?: number }).statusCode ?? 500;
  if (error instanceof ServeError || status >= 500)
    return ServeError.from(error, ErrorKind.Internal);
  const kind = status === 413 ? ErrorKind.BodyTooLarge : ErrorKind.MalformedRequest;
  return ServeError.from(error, kind);
}
