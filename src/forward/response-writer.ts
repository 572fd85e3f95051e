import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { UnreadResponses } from "../intake/unread-responses.js";

/** Writes the response to a caller's request. */
export class ResponseWriter {
  /** Name of the team that gets the response; empty if there is none. */
  owner = "";

  private constructor(
    private readonly response: ServerResponse,
    private readonly shouldClose: () => boolean,
    private readonly unread: UnreadResponses | undefined,
  ) {}

  /** `shouldClose` tells whether the connection should be closed after the response. */
  static create(
    response: ServerResponse,
    shouldClose: () => boolean,
    unread?: UnreadResponses,
  ): ResponseWriter {
    return new ResponseWriter(response, shouldClose, unread);
  }

  /** Whether the response head was sent. */
  get started(): boolean {
    return this.response.headersSent;
  }

  /** Sends the head of a streamed response. */
  start(status: number, headers: readonly string[]): void {
    this.writeHead(status, headers);
    this.response.flushHeaders();
  }

  /** Sends a chunk of a streamed response; a promise resolves when more can be written. */
  write(chunk: Uint8Array): Promise<void> | undefined {
    if (this.response.destroyed || this.response.write(chunk)) return undefined;
    return this.waitForDrain(chunk.length);
  }

  /** Completes a streamed response. */
  end(): void {
    this.response.end();
  }

  /** Sends a complete response. */
  send(status: number, headers: readonly string[], body: Buffer): void {
    this.writeHead(status, [...headers, "content-length", String(body.length)]);
    this.response.end(body);
    if (this.response.writableFinished) return;
    const release = this.unread?.hold(this.owner, body.length, this.response);
    if (release !== undefined) this.response.once("close", release);
  }

  /** Destroys the connection so that a partial response does not look complete. */
  abort(): void {
    // Chunks leave the response only after the present turn, and would be lost before.
    process.nextTick(() => this.response.destroy());
  }

  private async waitForDrain(bytes: number): Promise<void> {
    const release = this.unread?.hold(this.owner, bytes, this.response);
    await Promise.race([once(this.response, "drain"), once(this.response, "close")]);
    release?.();
  }

  private writeHead(status: number, headers: readonly string[]): void {
    for (let index = 0; index + 1 < headers.length; index += 2) {
      this.response.appendHeader(headers[index] ?? "", headers[index + 1] ?? "");
    }
    if (this.shouldClose()) this.response.setHeader("connection", "close");
    this.response.statusCode = status;
  }
}
