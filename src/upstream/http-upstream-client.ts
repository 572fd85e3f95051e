import { EventSourceParserStream } from "eventsource-parser/stream";
import { type Dispatcher, Pool } from "undici";
import { z } from "zod";
import { Rank } from "../configuration/rank.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { type CallIdentity, callHeader } from "./call-identity.js";
import type { GenerateRequest } from "./generate-request.js";
import type { Token } from "./token.js";
import type { UpstreamClient } from "./upstream-client.js";

const CONNECTIONS = 256;
const END_OF_STREAM = "[DONE]";

const chunkSchema = z.object({
  choices: z.array(z.object({ text: z.string(), finish_reason: z.string().nullish() })),
  usage: z.object({ completion_tokens: z.number().int().nonnegative() }),
});
const loadSchema = z.object({ server_load: z.number() });

/** Engine priorities; lower numbers run first. */
const priorities: Readonly<Record<Rank, number>> = {
  [Rank.Urgent]: 0,
  [Rank.Standard]: 1,
  [Rank.Background]: 2,
};

/** One upstream over HTTP. */
export class HttpUpstreamClient implements UpstreamClient {
  private constructor(private readonly pool: Pool) {}

  static create(address: string): HttpUpstreamClient {
    return new HttpUpstreamClient(new Pool(address, { connections: CONNECTIONS, pipelining: 1 }));
  }

  async call(
    path: string,
    identity: CallIdentity,
    body: unknown,
    signal: AbortSignal,
  ): Promise<unknown> {
    const response = await this.post(path, identity, body, signal);
    try {
      return await response.json();
    } catch (error) {
      throw failureOf(error, signal);
    }
  }

  async *generate(request: GenerateRequest, signal: AbortSignal): AsyncGenerator<Token> {
    const body = await this.post(
      "/v1/completions",
      request.identity,
      completionOf(request),
      signal,
    );
    const events = ReadableStream.from(body as AsyncIterable<Uint8Array>)
      .pipeThrough(new TextDecoderStream())
      .pipeThrough(new EventSourceParserStream());
    try {
      for await (const { data } of events) {
        if (data === END_OF_STREAM) return;
        const { choices, usage } = chunkSchema.parse(JSON.parse(data));
        const text = choices[0]?.text ?? "";
        if (text === "") continue;
        yield { index: request.receivedTokens + usage.completion_tokens - 1, text };
      }
    } catch (error) {
      throw failureOf(error, signal);
    }
    throw ServeError.create(ErrorKind.UpstreamFailed, "the stream ended before its last event");
  }

  async load(signal: AbortSignal): Promise<number> {
    const { body } = await this.pool.request({ path: "/load", method: "GET", signal });
    return loadSchema.parse(await body.json()).server_load;
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async post(
    path: string,
    identity: CallIdentity,
    body: unknown,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData["body"]> {
    const header = callHeader(identity);
    try {
      const response = await this.pool.request({
        path,
        method: "POST",
        headers: { "content-type": "application/json", "x-request-id": header },
        body: JSON.stringify(body),
        signal,
      });
      const { statusCode, headers } = response;
      if (statusCode !== 200) {
        await response.body.dump();
        throw ServeError.create(
          statusCode < 500 ? ErrorKind.UpstreamRejected : ErrorKind.UpstreamFailed,
          `status ${statusCode}`,
        );
      }
      if (headers["x-request-id"] !== header) {
        await response.body.dump();
        throw ServeError.create(ErrorKind.UpstreamFailed, "the answer belongs to another call");
      }
      return response.body;
    } catch (error) {
      throw failureOf(error, signal);
    }
  }
}

function completionOf(request: GenerateRequest): unknown {
  return {
    model: request.model,
    prompt: request.prompt + request.receivedText,
    max_tokens: request.maxTokens - request.receivedTokens,
    priority: priorities[request.rank],
    stream: true,
    stream_options: { include_usage: true, continuous_usage_stats: true },
  };
}

/** An abort keeps the reason of the signal; any other failure may have lost the answer. */
function failureOf(error: unknown, signal: AbortSignal): ServeError {
  if (signal.aborted) return ServeError.from(signal.reason, ErrorKind.Cancelled);
  return ServeError.from(error, ErrorKind.UpstreamFailed);
}
