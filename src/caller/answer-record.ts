import { createHash } from "node:crypto";
import { EventEmitter, once } from "node:events";
import { ErrorKind } from "../error/error-kind.js";
import type { Problem } from "../error/problem.js";
import { ServeError } from "../error/serve-error.js";
import type { AnswerEvent } from "./answer-event.js";
import type { AnswerSource } from "./answer-source.js";
import type { NumberedEvent } from "./numbered-event.js";
import { TokenText } from "./token-text.js";

const BYTES_PER_POSITION = 4;
/** Bounds the text that one step of a reader copies. */
const MOST_EVENTS_PER_PAGE = 256;

/** The events of one request's answer; readers may follow it from any position. */
export class AnswerRecord implements AnswerSource {
  private readonly tokens = TokenText.create();
  /** Events after the last token. */
  private readonly tail: AnswerEvent[] = [];
  private readonly changes = new EventEmitter().setMaxListeners(0);
  private resultText = "";
  private length = 0;
  private closed = false;

  private constructor(
    readonly request: string,
    readonly team: string,
  ) {}

  static create(request: string, team: string): AnswerRecord {
    return new AnswerRecord(request, team);
  }

  /** Whether the last event has been written. */
  get finished(): boolean {
    return this.closed;
  }

  /** Bytes held, estimated from the length of the text. */
  get bytes(): number {
    return this.length + BYTES_PER_POSITION * this.tokens.count;
  }

  /** Number of events written so far. */
  get size(): number {
    return this.tokens.count + this.tail.length;
  }

  /** A copy of the events written so far. */
  get events(): readonly AnswerEvent[] {
    return Array.from({ length: this.size }, (_, at) => this.at(at));
  }

  /** Adds a token; tokens come before the result. */
  token(text: string): void {
    if (this.closed) return;
    if (this.tail.length > 0) {
      throw ServeError.create(ErrorKind.Internal, "a token follows the result");
    }
    this.tokens.add(text);
    this.length += Buffer.byteLength(text);
    this.changes.emit("change");
  }

  result(body: unknown): void {
    if (this.closed) return;
    const text = JSON.stringify(body ?? null);
    this.resultText += text;
    this.length += Buffer.byteLength(text);
    this.push({ kind: "result", body: body ?? null });
  }

  /** Marks the answer as whole. */
  end(): void {
    // Hashed as one text: a character may be split between two tokens.
    const text = this.tokens.compact() + this.resultText;
    const digest = createHash("sha256").update(text).digest("hex");
    this.close({ kind: "end", length: Buffer.byteLength(text), digest });
  }

  /** Ends the answer with an error. */
  fail(problem: Problem): void {
    this.close({ kind: "error", problem });
  }

  /** The events after position `after` that are written already, a bounded number of them. */
  page(after: number): readonly NumberedEvent[] {
    if (after > this.size) {
      const detail = `event ${after} is not one of the ${this.size} events of the answer`;
      throw ServeError.create(ErrorKind.MalformedRequest, detail);
    }
    const count = Math.min(this.size - after, MOST_EVENTS_PER_PAGE);
    return Array.from({ length: count }, (_, at) => ({
      id: after + at + 1,
      event: this.at(after + at),
    }));
  }

  /** Resolves at the next event; rejects when `signal` aborts. */
  async changed(signal: AbortSignal): Promise<void> {
    await once(this.changes, "change", { signal });
  }

  async *follow(after: number, signal: AbortSignal): AsyncGenerator<readonly NumberedEvent[]> {
    for (let at = after; ;) {
      const page = this.page(at);
      at += page.length;
      if (page.length > 0) yield page;
      if (at < this.size) continue;
      if (this.closed) return;
      await this.changed(signal);
    }
  }

  private at(position: number): AnswerEvent {
    const { count } = this.tokens;
    if (position < count) return { kind: "token", text: this.tokens.at(position) };
    const event = this.tail[position - count];
    if (event === undefined) throw ServeError.create(ErrorKind.Internal, "no such event");
    return event;
  }

  private push(event: AnswerEvent): void {
    this.tail.push(event);
    this.changes.emit("change");
  }

  private close(event: AnswerEvent): void {
    if (this.closed) return;
    this.closed = true;
    this.tokens.compact();
    this.push(event);
  }
}
