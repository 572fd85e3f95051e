import type { Readable } from "node:stream";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "../upstream/connection.js";
import type { ResponseAttributes } from "./response-attributes.js";
import type { ResponseWriter } from "./response-writer.js";
import type { AttemptOutcome } from "./attempt-outcome.js";
import { consumeBody } from "./consume-body.js";
import type { Dialect } from "./dialect.js";
import type { DispatchAttributes } from "./dispatch-attributes.js";
import { EventSplitter } from "./event-splitter.js";
import type { ForwardRequest } from "./forward-request.js";
import type { StreamProgress } from "./stream-progress.js";
import type { UpstreamEntry } from "./upstream-entry.js";

/** Time within which an upstream accepts a connection; several round trips in a region. */
const CONNECT_TIMEOUT_MS = 250;
const MIN_SERVER_ERROR_STATUS = 500;
const MIN_ERROR_STATUS = 400;
const MISDIRECTED_REQUEST = 421;
/** Larger answers that are not streams are passed on as they come. */
const MAX_BUFFERED_BYTES = 4_194_304;
/** Bytes without the end of an event after which a stream is none; events hold a few tokens. */
const MAX_EVENT_BYTES = 1_048_576;

type ResponseHeaders = Awaited<ReturnType<Connection["request"]>>["headers"];

interface Parts {
  readonly timers: Timers;
  readonly dialect: Dialect;
}

/** What one attempt is about. */
export interface AttemptTask {
  readonly request: ForwardRequest;
  readonly attemptId: string;
  readonly entry: UpstreamEntry;
  readonly dispatch: DispatchAttributes;
  readonly writer: ResponseWriter;
  readonly progress: StreamProgress;
  readonly streamed: boolean;
  /** Silence after which the attempt is given up, in ms; undefined to wait. */
  readonly silenceTimeoutMs: number | undefined;
  /** Called when the request is sent on an open connection. */
  readonly onSent: () => void;
  /** Called with what the head of an answer to this request says. */
  readonly onResponseHead: (attributes: ResponseAttributes) => void;
  /** Called when the upstream has begun its answer. */
  readonly onResponseStart: () => void;
  readonly signal: AbortSignal;
}

/** Sends a request to one upstream on a new connection and passes its answer on. */
export class UpstreamAttempt {
  private readonly silenceAbort = new AbortController();
  private lastActivityMs: number;
  /** Whether the caller has to read before more is taken from the upstream. */
  private blockedByCaller = false;

  private constructor(
    private readonly parts: Parts,
    private readonly task: AttemptTask,
  ) {
    this.lastActivityMs = parts.timers.now();
  }

  static create(parts: Parts, task: AttemptTask): UpstreamAttempt {
    return new UpstreamAttempt(parts, task);
  }

  /** Rejects with the reason of the task's signal when that aborts, and never otherwise. */
  async run(): Promise<AttemptOutcome> {
    const { task, parts } = this;
    const signal = AbortSignal.any([task.signal, this.silenceAbort.signal]);
    let connection: Connection;
    try {
      const url = `http://${task.entry.address}`;
      connection = await Connection.open(url, parts.timers, signal, CONNECT_TIMEOUT_MS);
    } catch (error) {
      task.signal.throwIfAborted();
      return { kind: "unsent", detail: String(error) };
    }
    const silenceTimer = this.startSilenceTimer();
    try {
      return await this.exchange(connection, signal);
    } catch (error) {
      task.signal.throwIfAborted();
      if (error instanceof ServeError && error.undispatched) {
        return { kind: "unsent", detail: error.message };
      }
      return { kind: "broken", detail: String(error) };
    } finally {
      silenceTimer?.cancel();
      connection.destroy();
    }
  }

  private async exchange(connection: Connection, signal: AbortSignal): Promise<AttemptOutcome> {
    const { request, attemptId, dispatch, streamed } = this.task;
    const { dialect } = this.parts;
    this.task.onSent();
    const { statusCode, headers, body } = await connection.request({
      path: request.target,
      method: request.method,
      headers: dialect.upstreamHeaders(request.rawHeaders, dispatch),
      ...(request.body.length > 0 ? { body: request.body } : {}),
      reset: true,
      signal,
    });
    body.on("error", () => undefined);
    this.markActive();
    const attributes = dialect.parseResponse(statusCode, headers);
    if (attributes.attemptId !== undefined && attributes.attemptId !== attemptId) {
      return { kind: "broken", detail: "the answer belongs to another request" };
    }
    this.task.onResponseHead(attributes);
    if (attributes.inputsGone) return { kind: "inputs-gone" };
    if (attributes.notRun || statusCode === MISDIRECTED_REQUEST) {
      return { kind: "not-run", status: statusCode };
    }
    if (!attributes.signed) return { kind: "broken", detail: `unsigned status ${statusCode}` };
    this.task.onResponseStart();
    if (streamed && statusCode < MIN_ERROR_STATUS) {
      return this.relayStream(connection, statusCode, headers, body);
    }
    return this.relayWhole(connection, statusCode, headers, body);
  }

  private async relayWhole(
    connection: Connection,
    status: number,
    headers: ResponseHeaders,
    body: AsyncIterable<Buffer>,
  ): Promise<AttemptOutcome> {
    const { writer } = this.task;
    const parts: Buffer[] = [];
    let bytes = 0;
    for await (const part of body) {
      this.markActive();
      parts.push(part);
      bytes += part.length;
      if (bytes > MAX_BUFFERED_BYTES) return { kind: "broken", detail: "the answer is too large" };
    }
    if (endedByReset(connection, headers)) {
      return { kind: "broken", detail: "the connection was reset" };
    }
    const whole = Buffer.concat(parts);
    if (status >= MIN_SERVER_ERROR_STATUS)
      return { kind: "reported", status, headers, body: whole };
    writer.send(status, this.parts.dialect.callerHeaders(headers), whole);
    return { kind: "relayed", status };
  }

  private async relayStream(
    connection: Connection,
    status: number,
    headers: ResponseHeaders,
    body: Readable,
  ): Promise<AttemptOutcome> {
    const { writer, progress } = this.task;
    const { timers, dialect } = this.parts;
    const splitter = EventSplitter.create();
    if (!writer.started) writer.start(status, dialect.callerHeaders(headers));
    await consumeBody(body, (part) => {
      const events = splitter.push(part);
      if (splitter.remainder.length > MAX_EVENT_BYTES) throw new Error("an event is too large");
      // Bytes that end no event are no progress.
      if (events === undefined) return undefined;
      this.markActive();
      progress.record(events.count, events.lastId, timers.now());
      const drained = writer.write(events.bytes);
      return drained === undefined ? undefined : this.waitForCaller(drained);
    });
    if (endedByReset(connection, headers)) {
      return { kind: "broken", detail: "the connection was reset" };
    }
    if (splitter.remainder.length > 0) await writer.write(splitter.remainder);
    writer.end();
    return { kind: "relayed", status };
  }

  /** The silence of an upstream does not count while its bytes wait for a slow caller. */
  private async waitForCaller(drained: Promise<void>): Promise<void> {
    this.blockedByCaller = true;
    await drained;
    this.blockedByCaller = false;
    this.markActive();
  }

  private markActive(): void {
    this.lastActivityMs = this.parts.timers.now();
  }

  private startSilenceTimer(): { cancel(): void } | undefined {
    const { silenceTimeoutMs: quietMs } = this.task;
    if (quietMs === undefined) return undefined;
    const { timers } = this.parts;
    return timers.every(Math.max(1, quietMs / 4), () => {
      if (this.blockedByCaller || timers.now() - this.lastActivityMs < quietMs) return;
      this.silenceAbort.abort(new Error(`no byte within ${quietMs} ms`));
    });
  }
}

/** An answer without a length ends with its connection, and only a regular close makes it whole. */
function endedByReset(connection: Connection, headers: ResponseHeaders): boolean {
  const delimited =
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
  return !delimited && connection.wasReset;
}
