import type { IncomingMessage } from "node:http";
import { AppendResult } from "../buffer/append-result.js";
import type { BufferBudget } from "../buffer/buffer-budget.js";
import type { MemoryHolder } from "../buffer/memory-holder.js";
import { ByteBuffer } from "../buffer/byte-buffer.js";
import { consumeBody } from "../buffer/consume-body.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { SystemTimers } from "../time/system-timers.js";
import type { Timers } from "../time/timers.js";
import { STALL_MS } from "./stall.js";

/** Other bodies are complete or refused by then. */
const NO_MEMORY_RETRY_MS = 1_000;

/** The body of a caller's request. */
export class CallerBody implements MemoryHolder {
  owner = "";
  private buffer: ByteBuffer | undefined;
  private complete = false;
  private evicted = false;
  private lastChunkMs = 0;
  private refuse: (error: ServeError) => void = () => undefined;

  private constructor(
    private readonly message: IncomingMessage,
    private readonly budget: BufferBudget,
    private readonly timers: Pick<Timers, "now">,
    private readonly onEvicted: (owner: string) => void,
  ) {}

  /** `onEvicted` is called when it is refused as the buffer of another request needs its memory. */
  static create(
    message: IncomingMessage,
    budget: BufferBudget,
    timers: Pick<Timers, "now"> = SystemTimers.create(),
    onEvicted: (owner: string) => void = () => undefined,
  ): CallerBody {
    return new CallerBody(message, budget, timers, onEvicted);
  }

  get reservedBytes(): number {
    return this.buffer?.reservedBytes ?? 0;
  }

  /** A body that has arrived whole is accepted. */
  isEvictable(sameOwner: boolean): boolean {
    if (this.complete) return false;
    return !sameOwner || this.timers.now() - this.lastChunkMs >= STALL_MS;
  }

  /** Refuses the request. */
  evict(): void {
    this.evicted = true;
    this.clear();
    this.onEvicted(this.owner);
    this.refuse(refusalOf(AppendResult.NoMemory, 0));
  }

  /** See `BodyRead`. What was read is dropped if it rejects. */
  async read(maxBytes: number, signal: AbortSignal, owner = ""): Promise<Buffer> {
    const { message } = this;
    const { "content-length": length, "transfer-encoding": encoding } = message.headers;
    if (length === undefined && encoding === undefined) return Buffer.alloc(0);
    const buffer = ByteBuffer.create(this.budget, maxBytes, owner);
    this.owner = owner;
    this.buffer = buffer;
    this.lastChunkMs = this.timers.now();
    this.budget.add(this);
    // Before anything else runs, as the body of another caller may need memory in the same turn.
    message.once("end", () => {
      this.complete = true;
    });
    try {
      const refused = new Promise<never>((_resolve, reject) => (this.refuse = reject));
      const consumed = consumeBody(
        message,
        (chunk) => {
          // The rest is discarded.
          if (this.evicted) return undefined;
          this.lastChunkMs = this.timers.now();
          const result = buffer.append(chunk);
          if (result !== AppendResult.Added) throw refusalOf(result, maxBytes);
          return undefined;
        },
        signal,
      );
      await Promise.race([consumed, refused]);
      return buffer.bytes;
    } catch (error) {
      this.clear();
      // Any other error is that of a connection which ended before the body.
      throw ServeError.from(error, ErrorKind.Cancelled);
    }
  }

  /** Frees the memory of the body. */
  clear(): void {
    this.budget.remove(this);
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
