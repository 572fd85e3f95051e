import type { FastifyInstance, FastifyRequest } from "fastify";
import type { z } from "zod";
import type { AnswerLog } from "../caller/answer-log.js";
import { credentialDigest } from "../caller/credential.js";
import { CredentialIndex } from "../caller/credential-index.js";
import { nestedAtMost } from "../caller/nesting.js";
import { Configuration } from "../configuration/configuration.js";
import type { ConfigurationRegistry } from "../configuration/configuration-registry.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { Readiness } from "../daemon/readiness.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { createLimitedServer } from "../http/limited-server.js";
import type { Metrics } from "../metrics/metrics.js";
import type { Members } from "../peer/members.js";
import type { PeerVersions } from "../peer/peer-versions.js";
import type { RandomSource } from "../random/random-source.js";
import type { Settings } from "../settings/settings.js";
import {
  changeBodySchema,
  historyQuerySchema,
  removalQuerySchema,
  targetBodySchema,
  upstreamBodySchema,
} from "./operator-bodies.js";
import { OperatorChanges } from "./operator-changes.js";
import { operatorStatus } from "./operator-status.js";
import { refusalText } from "./refusal-text.js";

const MOST_NESTING = 64;

interface Parts {
  readonly settings: Settings;
  readonly readiness: Readiness;
  readonly configurationView: ConfigurationView;
  readonly configurationRegistry: ConfigurationRegistry;
  readonly members: Members;
  readonly peerVersions: PeerVersions;
  readonly answerLog: AnswerLog;
  readonly metrics: Pick<Metrics, "attainment">;
  readonly random: RandomSource;
}

/** The HTTP API for operators. */
export class OperatorServer {
  private readonly server: FastifyInstance;
  private readonly changes: OperatorChanges;
  private readonly credentials: CredentialIndex;

  private constructor(private readonly parts: Parts) {
    const { limits, operators } = parts.settings;
    this.changes = OperatorChanges.create(parts);
    this.credentials = CredentialIndex.create(
      operators.credentials.map(({ digest, name }) => [digest, name] as const),
    );
    this.server = createLimitedServer(limits, parts.random);
    this.server.after(() => {
      this.addRoutes();
    });
  }

  static create(parts: Parts): OperatorServer {
    return new OperatorServer(parts);
  }

  async listen(): Promise<void> {
    const { host, port } = this.parts.settings.operators;
    await this.server.listen({ host, port });
  }

  /** Resolves when all requests in progress are answered. */
  async close(): Promise<void> {
    await this.server.close();
  }

  private addRoutes(): void {
    const { server, changes, parts } = this;
    server.get("/v1/status", (request) => {
      this.operator(request);
      return operatorStatus(parts);
    });
    server.get("/v1/configuration", (request) => {
      this.operator(request);
      const { configuration = Configuration.empty() } = parts.configurationView;
      const { version, document } = configuration;
      return { version, document };
    });
    server.get("/v1/configuration/changes", async (request) => {
      this.operator(request);
      const { limit } = checked(historyQuerySchema, request.query);
      return { changes: await parts.configurationRegistry.history(limit) };
    });
    server.post("/v1/configuration/changes", (request) =>
      changes.change(this.operator(request), checked(changeBodySchema, request.body)),
    );
    server.put("/v1/classes/:name/target", (request) =>
      changes.setTarget(
        this.operator(request),
        parameter(request, "name"),
        checked(targetBodySchema, request.body),
      ),
    );
    server.get("/v1/upstreams", (request) => {
      this.operator(request);
      return { upstreams: changes.configuration.document.upstreams };
    });
    server.post("/v1/upstreams", (request) =>
      changes.addUpstream(this.operator(request), checked(upstreamBodySchema, request.body)),
    );
    server.delete("/v1/upstreams/:id", (request) =>
      changes.removeUpstream(
        this.operator(request),
        parameter(request, "id"),
        checked(removalQuerySchema, request.query),
      ),
    );
    server.get("/v1/requests/:id", (request) => {
      this.operator(request);
      return this.requestStatus(parameter(request, "id"));
    });
  }

  private requestStatus(id: string): object {
    const record = this.parts.answerLog.find(id);
    if (record === undefined) {
      const detail = `"${id}" is not held here; ask the instance that the id names`;
      throw ServeError.create(ErrorKind.UnknownRequest, detail);
    }
    const { team, finished, size, bytes } = record;
    const last = finished ? record.page(size - 1)[0]?.event : undefined;
    const problem = last?.kind === "error" ? last.problem : undefined;
    return { id, team, finished, events: size, bytes, problem };
  }

  /** The name of the operator who sent the request; throws `Unauthenticated`. */
  private operator(request: FastifyRequest): string {
    const digest = credentialDigest(request.headers.authorization);
    const name = digest && this.credentials.ownerOf(digest);
    if (name) return name;
    throw ServeError.create(ErrorKind.Unauthenticated, "send a known credential as a bearer token");
  }
}

function parameter(request: FastifyRequest, name: string): string {
  return (request.params as Readonly<Record<string, string>>)[name] ?? "";
}

function checked<Schema extends z.ZodType>(schema: Schema, value: unknown): z.output<Schema> {
  if (!nestedAtMost(value, MOST_NESTING)) {
    const detail = `body: nested deeper than ${MOST_NESTING} levels`;
    throw ServeError.create(ErrorKind.MalformedRequest, detail);
  }
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  throw ServeError.create(ErrorKind.MalformedRequest, refusalText(result.error, value));
}
