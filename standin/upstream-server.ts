import { setTimeout as delay } from "node:timers/promises";
import { type FastifyInstance, type FastifyReply, type FastifyRequest, fastify } from "fastify";
import { type EngineFaults, noEngineFaults } from "./engine-faults.js";
import { ModelState } from "./model-state.js";

const EMBEDDING_SIZE = 8;
const DOCUMENTS = 8;
const CRASH_EXIT_CODE = 70;

interface Completion {
  readonly prompt: string;
  readonly max_tokens: number;
}

/** Stand-in for engines, encoders, retrievers, rerankers and plain services. */
export class UpstreamServer {
  private faults: EngineFaults = noEngineFaults;
  private running = 0;
  private hangUps = 0;
  private received = 0;
  /** Bodies of `/call` by request id, so that tests can count executions. */
  private readonly calls: { readonly id: string; readonly body: unknown }[] = [];

  private constructor(readonly server: FastifyInstance) {}

  static create(id: string): UpstreamServer {
    const server = fastify({ bodyLimit: 8_388_608, forceCloseConnections: true });
    const upstream = new UpstreamServer(server);
    const answer = (
      path: string,
      make: (body: unknown, request: FastifyRequest) => unknown,
    ): void => {
      server.post(path, (request, reply) =>
        upstream.guarded(request, reply, async () => {
          await delay(upstream.faults.firstMs);
          return reply.send(make(request.body, request));
        }),
      );
    };
    answer("/v1/embeddings", (body) => ({
      data: [{ embedding: embeddingOf((body as { input: string }).input) }],
    }));
    answer("/search", (body) => ({ documents: documentsOf((body as { text: string }).text) }));
    answer("/v1/rerank", (body) => ({
      results: (body as { documents: string[] }).documents.map((text, index) => ({
        index,
        relevance_score: text.length % 7,
      })),
    }));
    answer("/call", (body, request) => {
      upstream.calls.push({ id: String(request.headers["x-request-id"]), body });
      return { accepted: body, by: id };
    });
    server.post("/v1/completions", (request, reply) =>
      upstream.guarded(request, reply, () => upstream.complete(request, reply)),
    );
    server.get("/load", async () => ({ server_load: await upstream.reportedLoad() }));
    server.get("/calls", () => upstream.calls);
    ModelState.create(server);
    server.get("/work", () => ({ running: upstream.running, received: upstream.received }));
    server.post("/control", (request) => {
      upstream.faults = { ...upstream.faults, ...(request.body as Partial<EngineFaults>) };
      return upstream.faults;
    });
    return upstream;
  }

  private async guarded(
    request: FastifyRequest,
    reply: FastifyReply,
    work: () => Promise<FastifyReply>,
  ): Promise<FastifyReply> {
    this.received += 1;
    const { status, frozen, crashOn, echo, body, hangUp } = this.faults;
    if (crashOn !== "" && JSON.stringify(request.body).includes(crashOn))
      process.exit(CRASH_EXIT_CODE);
    if (frozen) return reply.hijack();
    if (hangUp) {
      this.hangUps += 1;
      request.raw.socket.destroy();
      return reply.hijack();
    }
    if (status !== 0) return reply.status(status).send({ error: "fault" });
    request.headers["x-request-id"] = echo || String(request.headers["x-request-id"]);
    reply.header("x-request-id", request.headers["x-request-id"]);
    if (body !== "answer") return sendNonsense(reply, body === "endless");
    this.running += 1;
    try {
      return await work();
    } finally {
      this.running -= 1;
    }
  }

  /** Requests whose connection was closed without an answer. */
  get hangUpCount(): number {
    return this.hangUps;
  }

  private async reportedLoad(): Promise<number> {
    const load = this.running;
    await delay(this.faults.loadLagMs);
    return load;
  }

  private async complete(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { prompt, max_tokens: tokens } = request.body as Completion;
    const { firstMs, tokenMs, breakAfter } = this.faults;
    reply.hijack();
    reply.raw.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": String(request.headers["x-request-id"]),
    });
    await delay(firstMs);
    for (let count = 1; count <= tokens && !reply.raw.destroyed; count += 1) {
      reply.raw.write(chunk(nextWord(prompt, count), count));
      if (count === breakAfter) {
        reply.raw.destroy();
        return reply;
      }
      await delay(tokenMs);
    }
    reply.raw.end("data: [DONE]\n\n");
    return reply;
  }
}

async function sendNonsense(reply: FastifyReply, endless: boolean): Promise<FastifyReply> {
  reply.hijack();
  const { raw } = reply;
  raw.writeHead(200, {
    "content-type": "text/event-stream",
    "x-request-id": String(reply.getHeader("x-request-id")),
  });
  do {
    raw.write(`data: {"choices": ${"#".repeat(65_536)}\n\n`.slice(0, endless ? 60_000 : 100));
    await delay(0);
  } while (endless && !raw.destroyed);
  raw.end();
  return reply;
}

function chunk(text: string, count: number): string {
  const body = { choices: [{ text, finish_reason: null }], usage: { completion_tokens: count } };
  return `data: ${JSON.stringify(body)}\n\n`;
}

/** Words depend on the position in prompt and answer only, so that a resumed stream is the same. */
function nextWord(prompt: string, count: number): string {
  const answered = prompt.split(" w").length - 1;
  return ` w${answered + count}`;
}

function embeddingOf(text: string): number[] {
  return Array.from({ length: EMBEDDING_SIZE }, (_, at) => ((text.charCodeAt(at) || 1) % 13) / 13);
}

function documentsOf(text: string): { id: string; text: string }[] {
  return Array.from({ length: DOCUMENTS }, (_, at) => ({
    id: `d${at}`,
    text: `${text} note ${at}`,
  }));
}
