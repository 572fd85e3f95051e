import { Readable } from "node:stream";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import type { Configuration } from "../configuration/configuration.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { Readiness } from "../daemon/readiness.js";
import { ErrorKind } from "../error/error-kind.js";
import { problemOf } from "../error/problem.js";
import { ServeError } from "../error/serve-error.js";
import { createLimitedServer } from "../http/limited-server.js";
import { replyWithProblem } from "../http/problem-reply.js";
import { type RequestBody, requestBodySchema } from "../pipeline/request-body.js";
import type { RequestIntake } from "../pipeline/request-intake.js";
import type { RandomSource } from "../random/random-source.js";
import type { Settings } from "../settings/settings.js";
import { issueText } from "../settings/issue-text.js";
import type { Timers } from "../time/timers.js";
import { answerBody } from "./answer-body.js";
import type { AnswerFinder } from "./answer-finder.js";
import type { AnswerSource } from "./answer-source.js";
import { idempotencyKeyOf, resumePositionOf } from "./caller-headers.js";
import { credentialDigest } from "./credential.js";
import { CredentialIndex } from "./credential-index.js";
import { eventStream } from "./event-stream.js";
import { nestedAtMost } from "./nesting.js";

/** Deeper values would exhaust the stack of recursive checks. */
const MOST_NESTING = 64;

const IDLE_CHECK_MS = 100;

interface Parts {
  readonly settings: Settings;
  readonly requestIntake: RequestIntake;
  readonly answerFinder: AnswerFinder;
  readonly configurationView: ConfigurationView;
  readonly readiness: Readiness;
  readonly random: RandomSource;
  readonly timers: Timers;
}

/** The HTTP API for callers. */
export class CallerServer {
  private readonly server: FastifyInstance;
  private teams: { readonly of: Configuration; readonly index: CredentialIndex } | undefined;

  private constructor(private readonly parts: Parts) {
    this.server = createLimitedServer(parts.settings.limits, parts.random);
    // Routes are added once the plugins are loaded, so that compression applies to them.
    this.server.after(() => {
      this.addRoutes();
    });
  }

  static create(parts: Parts): CallerServer {
    return new CallerServer(parts);
  }

  async listen(): Promise<void> {
    const { host, port } = this.parts.settings.callers;
    await this.server.listen({ host, port });
  }

  /** Resolves when all requests in progress are answered. */
  async close(): Promise<void> {
    // Node closes only the connections that are idle at this moment, not those that become so.
    const idle = this.parts.timers.every(IDLE_CHECK_MS, () => {
      this.server.server.closeIdleConnections();
    });
    await this.server.close();
    idle.cancel();
  }

  private addRoutes(): void {
    const { server } = this;
    server.get("/healthz", () => ({ status: "ok" }));
    server.get("/readyz", (_request, reply) => this.readiness(reply));
    server.post("/v1/pipelines/:pipeline/requests", (request, reply) => this.start(request, reply));
    server.get("/v1/requests/:id/events", (request, reply) => this.events(request, reply));
    server.get("/v1/requests/:id", async (request, reply) =>
      this.answer(await this.found(request, 0), reply),
    );
  }

  private readiness(reply: FastifyReply): FastifyReply {
    const { ready, reasons } = this.parts.readiness;
    if (ready) return reply.send({ status: "ready" });
    const error = ServeError.create(ErrorKind.NotReady, reasons.join(", "));
    const problem = { ...problemOf(error, this.parts.random), reasons };
    return replyWithProblem(reply, problem);
  }

  private async start(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const team = this.team(request);
    const { pipeline } = request.params as { pipeline: string };
    const idempotencyKey = idempotencyKeyOf(request.headers);
    const body = checkedBody(request.body);
    const record = this.parts.requestIntake.start({ team, pipeline, body, idempotencyKey });
    reply.header("x-request-id", record.request);
    return body.stream ? this.stream(record, 0, reply) : this.answer(record, reply);
  }

  private async events(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const after = resumePositionOf(request.headers);
    return this.stream(await this.found(request, after), after, reply);
  }

  private stream(source: AnswerSource, after: number, reply: FastifyReply): FastifyReply {
    return reply
      .header("content-type", "text/event-stream")
      .header("cache-control", "no-store")
      .send(Readable.from(eventStream(this.parts, source, after, closing(reply))));
  }

  private async answer(source: AnswerSource, reply: FastifyReply): Promise<FastifyReply> {
    const answer = await answerBody(source, closing(reply));
    return answer.kind === "problem"
      ? replyWithProblem(reply, answer.problem)
      : reply.send(answer.body);
  }

  private found(request: FastifyRequest, after: number): Promise<AnswerSource> {
    const team = this.team(request);
    const { id } = request.params as { id: string };
    return this.parts.answerFinder.find(id, team, after);
  }

  private team(request: FastifyRequest): string {
    const { configuration } = this.parts.configurationView;
    if (configuration === undefined) {
      throw ServeError.create(ErrorKind.NotReady, "no configuration is in force yet");
    }
    const digest = credentialDigest(request.headers.authorization);
    const team = digest && this.index(configuration).ownerOf(digest);
    if (team) return team;
    throw ServeError.create(ErrorKind.Unauthenticated, "send a known credential as a bearer token");
  }

  private index(configuration: Configuration): CredentialIndex {
    if (this.teams?.of !== configuration) {
      const credentials = configuration.document.teams.flatMap((team) =>
        team.credentialDigests.map((digest) => [digest, team.name] as const),
      );
      this.teams = { of: configuration, index: CredentialIndex.create(credentials) };
    }
    return this.teams.index;
  }
}

/** Aborts when the caller disconnects; the request itself goes on. */
function closing(reply: FastifyReply): AbortSignal {
  const left = new AbortController();
  reply.raw.once("close", () => {
    left.abort();
  });
  return left.signal;
}

function checkedBody(value: unknown): RequestBody {
  if (!nestedAtMost(value, MOST_NESTING)) {
    const detail = `the body is nested deeper than ${MOST_NESTING} levels`;
    throw ServeError.create(ErrorKind.MalformedRequest, detail);
  }
  const body = requestBodySchema.safeParse(value);
  if (body.success) return body.data;
  throw ServeError.create(ErrorKind.MalformedRequest, issueText(body.error));
}
