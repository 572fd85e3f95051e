import { write } from "node:fs";

/** Bytes that may wait for a slow reader of the output before further lines are dropped. */
const MOST_WAITING_BYTES = 262_144;
const STANDARD_OUTPUT = 1;

/** Writes lines to standard output without blocking; lines beyond a bound are dropped and counted. */
export class LogOutput {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private writing = false;
  private droppedLines = 0;

  private constructor(private readonly descriptor: number) {}

  static create(descriptor = STANDARD_OUTPUT): LogOutput {
    return new LogOutput(descriptor);
  }

  /** Lines dropped so far. */
  get dropped(): number {
    return this.droppedLines;
  }

  line(text: string): void {
    if (this.waitingBytes > MOST_WAITING_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.waiting.push(text);
    this.waitingBytes += text.length + 1;
    if (!this.writing) this.flush();
  }

  private flush(): void {
    if (this.waiting.length === 0) return;
    this.send(Buffer.from(`${this.waiting.join("\n")}\n`));
    this.waiting = [];
    this.waitingBytes = 0;
  }

  private send(bytes: Buffer): void {
    this.writing = true;
    write(this.descriptor, bytes, (error, count) => {
      this.writing = false;
      // A closed output cannot be reported anywhere; the lines count as dropped.
      if (error !== null) this.droppedLines += 1;
      else if (count < bytes.length) {
        this.send(bytes.subarray(count));
        return;
      }
      this.flush();
    });
  }
}
