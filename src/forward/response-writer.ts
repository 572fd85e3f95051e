import { once } from "node:events";
import type { ServerResponse } from "node:http";

/** Writes the answer to one caller. */
export class ResponseWriter {
  private constructor(
    private readonly response: ServerResponse,
    private readonly shouldClose: () => boolean,
  ) {}

  /** `closing` tells whether the connection should end after the answer. */
  static create(response: ServerResponse, closing: () => boolean): ResponseWriter {
    return new ResponseWriter(response, closing);
  }

  /** Whether the status was sent. */
  get started(): boolean {
    return this.response.headersSent;
  }

  /** Sends the head of a streamed answer. */
  start(status: number, headers: readonly string[]): void {
    this.writeHead(status, headers);
    this.response.flushHeaders();
  }

  /** Sends a part of a streamed answer; a promise resolves when more can be taken. */
  write(part: Uint8Array): Promise<void> | undefined {
    if (this.response.destroyed || this.response.write(part)) return undefined;
    return this.waitForDrain();
  }

  /** Ends a streamed answer as complete. */
  end(): void {
    this.response.end();
  }

  /** Sends a whole answer. */
  send(status: number, headers: readonly string[], body: Buffer): void {
    this.writeHead(status, [...headers, "content-length", String(body.length)]);
    this.response.end(body);
  }

  /** Closes the connection, so that an answer that has begun does not look complete. */
  abort(): void {
    this.response.destroy();
  }

  private async waitForDrain(): Promise<void> {
    await Promise.race([once(this.response, "drain"), once(this.response, "close")]);
  }

  private writeHead(status: number, headers: readonly string[]): void {
    for (let at = 0; at + 1 < headers.length; at += 2) {
      this.response.appendHeader(headers[at] ?? "", headers[at + 1] ?? "");
    }
    if (this.shouldClose()) this.response.setHeader("connection", "close");
    this.response.statusCode = status;
  }
}
