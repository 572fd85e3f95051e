import { Readable } from "node:stream";
import type { Client, Dispatcher } from "undici";
import type { PausableSocket } from "./pausable-socket.js";
import { hasKnownLength } from "./response-end.js";
import type { UpstreamResponse } from "./upstream-response.js";

const MIN_FINAL_STATUS = 200;
/** Statuses of responses that end with their head. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** HTTP defines no higher status. */
const MAX_STATUS = 599;
/** Bytes of a body that are read ahead; in chunks of one byte, each takes some hundred bytes. */
const MAX_UNREAD_BYTES = 16_384;

interface Parts {
  readonly method: Dispatcher.HttpMethod;
  readonly socket: PausableSocket;
  readonly signal: AbortSignal;
  readonly resolve: (response: UpstreamResponse) => void;
  readonly reject: (error: Error) => void;
}

/** Receives the response to one request; a body that nobody reads pauses the socket. */
export class ResponseReceiver implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private body: Readable | undefined;
  private complete = false;
  /** Whether the end of the connection is the only end that the response has. */
  private endsWithConnection = false;
  private readonly onAbort = (): void => {
    this.controller?.abort(this.parts.signal.reason as Error);
  };

  private constructor(private readonly parts: Parts) {
    parts.signal.addEventListener("abort", this.onAbort, { once: true });
  }

  /** Sends a request and resolves with the response once its head is there. */
  static request(
    client: Client,
    socket: PausableSocket,
    { signal, ...options }: Dispatcher.DispatchOptions & { readonly signal: AbortSignal },
  ): Promise<UpstreamResponse> {
    return new Promise((resolve, reject) => {
      const { method } = options;
      const parts = { method, socket, signal, resolve, reject };
      client.dispatch(options, new ResponseReceiver(parts));
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.parts.signal.aborted) this.onAbort();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: UpstreamResponse["headers"],
  ): void {
    if (statusCode < MIN_FINAL_STATUS) return;
    if (statusCode > MAX_STATUS) {
      controller.abort(new Error(`HTTP has no status ${statusCode}`));
      return;
    }
    const { socket, method } = this.parts;
    const hasBody = method !== "HEAD" && !BODILESS_STATUSES.has(statusCode);
    this.endsWithConnection = hasBody && !hasKnownLength(headers);
    const body = new Readable({
      highWaterMark: MAX_UNREAD_BYTES,
      read: () => {
        socket.resumeReceiving();
      },
      destroy: (error, callback) => {
        if (!this.complete)
          controller.abort(error ?? new Error("the body was not read to its end"));
        callback(error);
      },
    });
    // The response may break off before anything reads the body.
    body.on("error", () => undefined);
    this.body = body;
    this.parts.resolve({ statusCode, headers, body });
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.body?.push(chunk) === false) this.parts.socket.pauseReceiving();
  }

  onResponseEnd(controller: Dispatcher.DispatchController): void {
    // An upstream that ends the connection before it has the whole request has broken off.
    if (this.endsWithConnection && this.parts.socket.writableLength > 0) {
      this.onResponseError(
        controller,
        new Error("the connection ended while the request was still being sent"),
      );
      return;
    }
    this.end();
    this.complete = true;
    this.body?.push(null);
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.end();
    const { body } = this;
    if (body === undefined) this.parts.reject(error);
    // What waits for the head gets the body before the body fails.
    else queueMicrotask(() => body.destroy(error));
  }

  private end(): void {
    this.parts.signal.removeEventListener("abort", this.onAbort);
    this.parts.socket.resumeReceiving();
  }
}
