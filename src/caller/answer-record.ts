import { createHash } from "node:crypto";
import { EventEmitter, once } from "node:events";
import type { Problem } from "../error/problem.js";
import type { AnswerEvent } from "./answer-event.js";

/** An event with its position in the answer, from 1. */
export interface NumberedEvent {
  readonly id: number;
  readonly event: AnswerEvent;
}

/** The events of one request's answer; readers may follow it from any position. */
export class AnswerRecord {
  private readonly list: AnswerEvent[] = [];
  private readonly changes = new EventEmitter().setMaxListeners(0);
  private readonly digest = createHash("sha256");
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

  /** Bytes of text held. */
  get bytes(): number {
    return this.length;
  }

  /** The events written so far. */
  get events(): readonly AnswerEvent[] {
    return this.list;
  }

  token(text: string): void {
    this.add({ kind: "token", text }, text);
  }

  result(body: unknown): void {
    this.add({ kind: "result", body }, JSON.stringify(body));
  }

  /** Marks the answer as whole. */
  end(): void {
    this.close({ kind: "end", length: this.length, digest: this.digest.digest("hex") });
  }

  /** Ends the answer with an error. */
  fail(problem: Problem): void {
    this.close({ kind: "error", problem });
  }

  /** Yields the events after position `after`, waiting for those still to come. */
  async *follow(after: number, signal: AbortSignal): AsyncGenerator<NumberedEvent> {
    for (let at = after; ;) {
      for (const event of this.list.slice(at)) {
        at += 1;
        yield { id: at, event };
      }
      if (at >= this.list.length) {
        if (this.closed) return;
        await once(this.changes, "change", { signal });
      }
    }
  }

  private add(event: AnswerEvent, text: string): void {
    if (this.closed) return;
    this.digest.update(text);
    this.length += Buffer.byteLength(text);
    this.list.push(event);
    this.changes.emit("change");
  }

  private close(event: AnswerEvent): void {
    if (this.closed) return;
    this.closed = true;
    this.list.push(event);
    this.changes.emit("change");
  }
}
