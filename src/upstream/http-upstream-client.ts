import { createParser } from "eventsource-parser";
import { z } from "zod";
import { Rank } from "../configuration/rank.js";
import { BufferBudget } from "../buffer/buffer-budget.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { EventSplitter } from "../forward/event-splitter.js";
import type { Timers } from "../time/timers.js";
import type { CallIdentity } from "./call-identity.js";
import { DropReason } from "./drop-reason.js";
import type { DroppedAnswers } from "./dropped-answers.js";
import { readBoundedText } from "./read-bounded-text.js";
import { readLoad } from "./read-load.js";
import type { GenerateRequest } from "./generate-request.js";
import type { Token } from "./token.js";
import type { UpstreamClient } from "./upstream-client.js";
import { UpstreamExchange } from "./upstream-exchange.js";

const END_OF_STREAM = "[DONE]";
const MAX_RESPONSE_BYTES = 8_388_608;
/** Size limits of a stream; an event with one token and its usage takes about 150 bytes. */
const MAX_STREAM_BASE_BYTES = 65_536;
const MAX_BYTES_PER_TOKEN = 2_048;

const chunkSchema = z.object({
  choices: z.array(z.object({ text: z.string(), finish_reason: z.string().nullish() })),
  usage: z.object({ completion_tokens: z.number().int().nonnegative() }),
});

/** Values of the `priority` field of engines, which run lower numbers first. */
const enginePriorities: Readonly<Record<Rank, number>> = {
  [Rank.Urgent]: 0,
  [Rank.Standard]: 1,
  [Rank.Background]: 2,
};

/** HTTP client of one upstream. */
export class HttpUpstreamClient implements UpstreamClient {
  private readonly exchange: UpstreamExchange;

  private constructor(
    private readonly address: string,
    private readonly timers: Timers,
    private readonly droppedAnswers: DroppedAnswers,
  ) {
    this.exchange = UpstreamExchange.create(address, timers, droppedAnswers);
  }

  static create(address: string, timers: Timers, dropped: DroppedAnswers): HttpUpstreamClient {
    return new HttpUpstreamClient(address, timers, dropped);
  }

  async call(
    path: string,
    identity: CallIdentity,
    body: unknown,
    signal: AbortSignal,
    idempotent = false,
  ): Promise<unknown> {
    const call = { path, identity, body, idempotent, maxBytes: MAX_RESPONSE_BYTES };
    const parts = this.exchange.answer(call, signal);
    return this.parseJson(await readBoundedText(parts, MAX_RESPONSE_BYTES));
  }

  async *generate(request: GenerateRequest, signal: AbortSignal): AsyncGenerator<Token> {
    const remainingTokens = request.maxTokens - request.receivedTokens;
    const call = {
      path: "/v1/completions",
      identity: request.identity,
      body: completionBody(request),
      idempotent: true,
      maxBytes: MAX_STREAM_BASE_BYTES + remainingTokens * MAX_BYTES_PER_TOKEN,
    };
    const parts = this.exchange.answer(call, signal);
    const events: string[] = [];
    const splitter = EventSplitter.create(BufferBudget.unlimited());
    const parser = createParser({ onEvent: ({ data }) => events.push(data) });
    let completionTokens = 0;
    let complete = false;
    try {
      for (let part = await parts.next(); part.done !== true; part = await parts.next()) {
        // The parser looks at an incomplete line again with each chunk.
        parser.feed(splitter.push(Buffer.from(part.value))?.bytes.toString() ?? "");
        for (const data of events.splice(0)) {
          if (data === END_OF_STREAM) {
            complete = true;
            return;
          }
          const { choices, usage } = this.parseChunk(data);
          const text = choices[0]?.text ?? "";
          // The last chunk repeats the token count without text; a token may have an empty text.
          if (text === "" && usage.completion_tokens === completionTokens) continue;
          completionTokens = usage.completion_tokens;
          yield { index: request.receivedTokens + completionTokens - 1, text };
        }
      }
    } finally {
      // The connection can be reused only after the body has been read to its end.
      if (complete) void drain(parts);
      else await parts.return(undefined);
    }
    throw ServeError.create(
      ErrorKind.UpstreamFailed,
      "the completion stream ended before its [DONE] event",
    );
  }

  async load(signal: AbortSignal): Promise<number> {
    return readLoad(this.address, this.timers, signal);
  }

  close(): Promise<void> {
    this.exchange.close();
    return Promise.resolve();
  }

  private parseChunk(data: string): z.output<typeof chunkSchema> {
    const result = chunkSchema.safeParse(this.parseJson(data));
    if (result.success) return result.data;
    this.droppedAnswers.add(DropReason.Malformed);
    throw ServeError.create(
      ErrorKind.UpstreamFailed,
      "a chunk of the completion stream does not match its schema",
    );
  }

  private parseJson(text: string): unknown {
    try {
      return JSON.parse(text) as unknown;
    } catch (error) {
      this.droppedAnswers.add(DropReason.Malformed);
      throw ServeError.from(error, ErrorKind.UpstreamFailed);
    }
  }
}

async function drain(parts: AsyncGenerator<Uint8Array>): Promise<void> {
  try {
    while ((await parts.next()).done !== true);
  } catch {
    // The answer is complete; the exchange has closed the connection.
  }
}

function completionBody(request: GenerateRequest): unknown {
  return {
    model: request.model,
    prompt: request.prompt + request.receivedText,
    max_tokens: request.maxTokens - request.receivedTokens,
    priority: enginePriorities[request.rank],
    stream: true,
    stream_options: { include_usage: true, continuous_usage_stats: true },
  };
}
