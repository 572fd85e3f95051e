import { write } from "node:fs";

/** Bytes buffered for a slow reader of the output; further lines are dropped. */
const MAX_BUFFERED_BYTES = 262_144;
const STDOUT_DESCRIPTOR = 1;

/** Writes lines to standard output without blocking; lines beyond the buffer limit are dropped and counted. */
export class LogOutput {
  private bufferedLines: string[] = [];
  private bufferedBytes = 0;
  private writing = false;
  private droppedLines = 0;

  private constructor(private readonly descriptor: number) {}

  static create(descriptor = STDOUT_DESCRIPTOR): LogOutput {
    return new LogOutput(descriptor);
  }

  /** Lines dropped so far. */
  get dropped(): number {
    return this.droppedLines;
  }

  line(text: string): void {
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.bufferedLines.push(text);
    this.bufferedBytes += text.length + 1;
    if (!this.writing) this.flush();
  }

  private flush(): void {
    if (this.bufferedLines.length === 0) return;
    this.writeBytes(Buffer.from(`${this.bufferedLines.join("\n")}\n`));
    this.bufferedLines = [];
    this.bufferedBytes = 0;
  }

  private writeBytes(bytes: Buffer): void {
    this.writing = true;
    write(this.descriptor, bytes, (error, count) => {
      this.writing = false;
      // A closed output cannot be reported anywhere; the lines count as dropped.
      if (error !== null) this.droppedLines += 1;
      else if (count < bytes.length) {
        this.writeBytes(bytes.subarray(count));
        return;
      }
      this.flush();
    });
  }
}
