import { appendResponse } from "../buffer/append-response.js";
import type { BufferBudget } from "../buffer/buffer-budget.js";
import { ByteBuffer } from "../buffer/byte-buffer.js";

/** Maximum size of an incomplete event; regular events hold a few tokens. */
const MAX_EVENT_BYTES = 1_048_576;
const ID_FIELD = /^id: ?(.*)$/m;
const EVENT_END = /\r?\n\r?\n/;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 58;

/** Complete events of a stream with their unmodified bytes. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** ID of the last event that has one. */
  readonly lastId: string | undefined;
}

/**
 * Splits a stream into complete events and leaves their bytes unmodified. Each byte is looked at
 * once, however the stream is cut into chunks. Empty lines and comments alone are no event; they are
 * kept until the next one.
 */
export class EventSplitter {
  private readonly pending: ByteBuffer;
  /** Bytes of the incomplete line, and its first one. */
  private lineBytes = 0;
  private lineStart = 0;
  /** Whether a line of the incomplete event has a field. */
  private hasField = false;

  private constructor(budget: BufferBudget) {
    this.pending = ByteBuffer.create(budget, MAX_EVENT_BYTES);
  }

  static create(budget: BufferBudget): EventSplitter {
    return new EventSplitter(budget);
  }

  /** Whether the last byte is inside an event. */
  get isInsideEvent(): boolean {
    return this.hasField || this.lineBytes > 0;
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.pending.bytes;
  }

  /**
   * Adds bytes and returns the events completed by them; undefined if there are none. Throws
   * `UpstreamFailed` if the bytes after the last event exceed 1 MiB, or there is no memory for them.
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    let end = 0;
    let count = 0;
    let from = 0;
    for (let at = chunk.indexOf(LINE_FEED); at >= 0; at = chunk.indexOf(LINE_FEED, from)) {
      if (this.completesEvent(chunk, from, at)) {
        end = at + 1;
        count += 1;
      }
      from = at + 1;
    }
    if (this.lineBytes === 0) this.lineStart = chunk[from] ?? 0;
    this.lineBytes += chunk.length - from;
    if (end === 0) {
      this.keep(chunk);
      return undefined;
    }
    const bytes = this.completed(chunk.subarray(0, end));
    this.keep(chunk.subarray(end));
    return { bytes, count, lastId: lastIdOf(bytes) };
  }

  /** Drops the bytes that are kept. */
  clear(): void {
    this.pending.clear();
  }

  /** Processes the line that ends at `lineFeed`; returns whether it ends an event. */
  private completesEvent(chunk: Buffer, from: number, lineFeed: number): boolean {
    const length = this.lineBytes + lineFeed - from;
    const start = this.lineBytes > 0 ? this.lineStart : chunk[from];
    this.lineBytes = 0;
    if (length === 0 || (length === 1 && start === CARRIAGE_RETURN)) {
      const { hasField } = this;
      this.hasField = false;
      return hasField;
    }
    if (start !== COLON) this.hasField = true;
    return false;
  }

  /** What is kept, and the chunk after it. */
  private completed(chunk: Buffer): Buffer {
    if (this.pending.length === 0) return chunk;
    this.keep(chunk);
    return this.pending.take();
  }

  private keep(chunk: Buffer): void {
    if (chunk.length > 0) appendResponse(this.pending, chunk);
  }
}

function lastIdOf(bytes: Buffer): string | undefined {
  const events = bytes.toString("latin1").split(EVENT_END);
  for (let index = events.length - 1; index >= 0; index -= 1) {
    const id = ID_FIELD.exec(events[index] ?? "")?.[1];
    if (id !== undefined) return id.trim();
  }
  return undefined;
}
