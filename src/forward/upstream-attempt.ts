import type { Readable } from "node:stream";
import type { BufferBudget } from "../buffer/buffer-budget.js";
import { consumeBody } from "../buffer/consume-body.js";
import { readWhole } from "../buffer/read-whole.js";
import { AttemptPhase } from "../crash/attempt-phase.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "../upstream/connection.js";
import { type ResponseHeaders, endedByReset, hasKnownLength } from "../upstream/response-end.js";
import type { AttemptTask } from "./attempt-task.js";
import type { AttemptOutcome } from "./attempt-outcome.js";
import type { Dialect } from "./dialect.js";
import { type CompleteEvents, EventSplitter } from "./event-splitter.js";
import { EventRelay } from "../version/event-relay.js";

/** Time within which an upstream accepts a connection; several round trips in a region. */
const CONNECT_TIMEOUT_MS = 250;
const MIN_SERVER_ERROR_STATUS = 500;
const OK = 200;
const MIN_REDIRECT_STATUS = 300;
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 205]);
/** Maximum size of a response that is not streamed; these are buffered before relaying. */
const MAX_BUFFERED_BYTES = 4_194_304;

interface Parts {
  readonly timers: Timers;
  readonly dialect: Dialect;
  readonly bufferBudget: BufferBudget;
}

/** Sends a request to one upstream on a new connection and relays the response. */
export class UpstreamAttempt {
  private readonly silenceAbort = new AbortController();
  private lastActivityMs: number;
  private phase = AttemptPhase.Waiting;
  /** Whether reading from the upstream is paused until the caller has read more. */
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

  /** Rejects only when the task's signal aborts, with its reason. */
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
      return this.broken(String(error));
    } finally {
      silenceTimer?.cancel();
      connection.destroy();
    }
  }

  private async exchange(connection: Connection, signal: AbortSignal): Promise<AttemptOutcome> {
    const { request, attemptId, dispatch, streamed } = this.task;
    const { dialect } = this.parts;
    if (!this.task.trySend()) return { kind: "withheld" };
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
      return this.broken("the response has the attempt ID of another request");
    }
    this.task.onResponseHead(attributes);
    if (attributes.inputsGone) return { kind: "inputs-gone" };
    if (attributes.notRun) {
      return { kind: "not-run", status: statusCode };
    }
    if (!attributes.signed) return this.broken(`unsigned response with status ${statusCode}`);
    // The caller has got the head of an earlier response, so that it can only get further events.
    if (this.task.writer.started && statusCode !== OK)
      return this.broken(`status ${statusCode} to a request to continue a stream`);
    this.phase = AttemptPhase.Begun;
    this.task.onResponseStart();
    if (streamed && mayHaveEvents(statusCode)) {
      return this.relayStream(connection, statusCode, headers, body);
    }
    return this.relayWhole(connection, statusCode, headers, body);
  }

  private async relayWhole(
    connection: Connection,
    status: number,
    headers: ResponseHeaders,
    body: Readable,
  ): Promise<AttemptOutcome> {
    const whole = await readWhole(body, MAX_BUFFERED_BYTES, this.parts.bufferBudget, () => {
      this.markActive();
    });
    if (endedByReset(connection, headers)) {
      return this.broken("the connection was reset; the response may be truncated");
    }
    const mayHaveBody = status === OK && this.task.request.method !== "HEAD";
    if (mayHaveBody && whole.length === 0 && !hasKnownLength(headers)) {
      return this.broken("the connection was closed after the response head");
    }
    this.markAnswered();
    if (status >= MIN_SERVER_ERROR_STATUS)
      return { kind: "reported", status, headers, body: whole };
    this.task.writer.send(status, this.parts.dialect.callerHeaders(headers), whole);
    return { kind: "relayed", status };
  }

  private async relayStream(
    connection: Connection,
    status: number,
    headers: ResponseHeaders,
    body: Readable,
  ): Promise<AttemptOutcome> {
    const { task } = this;
    const { writer } = task;
    const { timers, dialect, bufferBudget } = this.parts;
    const splitter = EventSplitter.create(bufferBudget);
    const startResponse = (): void => {
      if (!writer.started) writer.start(status, dialect.callerHeaders(headers));
    };
    const mayPass = task.beginStream();
    if (mayPass === undefined) startResponse();
    const send = (events: CompleteEvents): Promise<void> | undefined => {
      startResponse();
      task.onEvents();
      task.progress.record(events.count, events.lastId, timers.now());
      const drained = writer.write(events.bytes);
      return drained === undefined ? undefined : this.waitForCaller(drained);
    };
    const relay = EventRelay.create(send, mayPass, bufferBudget);
    try {
      await consumeBody(body, (chunk) => {
        const events = splitter.push(chunk);
        // Bytes that do not complete an event do not count as progress.
        if (events === undefined) return undefined;
        this.markActive();
        this.markAnswered();
        return relay.push(events);
      });
      const empty = this.phase !== AttemptPhase.Answered && !hasKnownLength(headers);
      if (endedByReset(connection, headers))
        throw new Error("the connection was reset; the response may be truncated");
      if (empty || splitter.isInsideEvent)
        throw new Error("the stream ended before or inside an event");
      relay.complete();
      startResponse();
      // Empty lines and comments after the last event belong to the response too.
      if (splitter.remainder.length > 0) void writer.write(splitter.remainder);
      writer.end();
      return { kind: "relayed", status };
    } catch (error) {
      if (!task.signal.aborted) await relay.breakOff();
      throw error;
    } finally {
      relay.clear();
      splitter.clear();
    }
  }

  /** Suspends the silence timeout while the caller has not read what was relayed. */
  private async waitForCaller(drained: Promise<void>): Promise<void> {
    this.blockedByCaller = true;
    await drained;
    this.blockedByCaller = false;
    this.markActive();
  }

  private broken(detail: string): AttemptOutcome {
    return { kind: "broken", phase: this.phase, detail };
  }

  private markAnswered(): void {
    if (this.phase === AttemptPhase.Answered) return;
    this.phase = AttemptPhase.Answered;
    this.task.onAnswer();
  }

  private markActive(): void {
    this.lastActivityMs = this.parts.timers.now();
  }

  private startSilenceTimer(): { cancel(): void } | undefined {
    const { silenceTimeoutMs } = this.task;
    if (silenceTimeoutMs === undefined) return undefined;
    const { timers } = this.parts;
    return timers.every(Math.max(1, silenceTimeoutMs / 4), () => {
      if (this.blockedByCaller || timers.now() - this.lastActivityMs < silenceTimeoutMs) return;
      this.silenceAbort.abort(
        new Error(`no progress of the response within ${silenceTimeoutMs} ms`),
      );
    });
  }
}

/** The head of any other response may be a whole one, and must not be passed on before its end. */
function mayHaveEvents(status: number): boolean {
  return status >= OK && status < MIN_REDIRECT_STATUS && !BODILESS_STATUSES.has(status);
}
