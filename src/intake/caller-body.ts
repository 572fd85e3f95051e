import type { IncomingMessage } from "node:http";
import { AppendResult } from "../buffer/append-result.js";
import type { BufferBudget } from "../buffer/buffer-budget.js";
import { ByteBuffer } from "../buffer/byte-buffer.js";
import { consumeBody } from "../buffer/consume-body.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";

/** Other bodies are complete or refused by then. */
const NO_MEMORY_RETRY_MS = 1_000;

/** The body of a caller's request. */
export class CallerBody {
  private buffer: ByteBuffer | undefined;

  private constructor(
    private readonly message: IncomingMessage,
    private readonly budget: BufferBudget,
  ) {}

  static create(message: IncomingMessage, budget: BufferBudget): CallerBody {
    return new CallerBody(message, budget);
  }

  /** See `BodyRead`. What was read is dropped if it rejects. */
  async read(maxBytes: number, signal: AbortSignal): Promise<Buffer> {
    const { message } = this;
    const { "content-length": length, "transfer-encoding": encoding } = message.headers;
    if (length === undefined && encoding === undefined) return Buffer.alloc(0);
    const buffer = ByteBuffer.create(this.budget, maxBytes);
    this.buffer = buffer;
    try {
      await consumeBody(
        message,
        (chunk) => {
          const result = buffer.append(chunk);
          if (result !== AppendResult.Added) throw refusalOf(result, maxBytes);
          return undefined;
        },
        signal,
      );
      return buffer.bytes;
    } catch (error) {
      this.clear();
      // Any other error is that of a connection which ended before the body.
      throw ServeError.from(error, ErrorKind.Cancelled);
    }
  }

  /** Frees the memory of the body. */
  clear(): void {
    this.buffer?.clear();
  }
}

function refusalOf(
  result: Exclude<AppendResult, AppendResult.Added>,
  maxBytes: number,
): ServeError {
  switch (result) {
    case AppendResult.TooLarge:
      return ServeError.create(ErrorKind.BodyTooLarge, `the body exceeds ${maxBytes} bytes`);
    case AppendResult.NoMemory:
      return ServeError.create(ErrorKind.Overloaded, "there is no memory for the body", {
        retryAfterMs: NO_MEMORY_RETRY_MS,
      });
  }
}
