import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { boundedBody } from "./bounded-body.js";
import { requestIdHeader } from "./call-identity.js";
import type { Connection } from "./connection.js";
import { DropReason } from "./drop-reason.js";
import type { DroppedAnswers } from "./dropped-answers.js";
import { SilenceThreshold } from "./silence-threshold.js";
import { SilenceWatch } from "./silence-watch.js";
import type { UpstreamCall } from "./upstream-call.js";
import { UpstreamCondition } from "./upstream-condition.js";
import { UpstreamConnections } from "./upstream-connections.js";
import { probeUpstream } from "./upstream-probe.js";
import type { UpstreamResponse } from "./upstream-response.js";

/** Idle connections are used again for idempotent calls within this time. */
const MAX_IDLE_MS = 3_000;
/**
 * A call that must not be sent twice uses a connection that received data within this time. Servers close idle
 * connections after seconds, so a close that races with the call is then unlikely.
 */
const MAX_NON_IDEMPOTENT_IDLE_MS = 250;
const OK = 200;
const FIRST_SERVER_ERROR = 500;
const TOO_MANY_REQUESTS = 429;

/** Makes calls to one upstream; each is written at most once. */
export class UpstreamExchange {
  private readonly connections: UpstreamConnections;
  private readonly thresholds = new Map<string, SilenceThreshold>();

  private constructor(
    private readonly address: string,
    private readonly timers: Timers,
    readonly droppedAnswers: DroppedAnswers,
  ) {
    this.connections = UpstreamConnections.create(address, timers);
  }

  static create(address: string, timers: Timers, dropped: DroppedAnswers): UpstreamExchange {
    return new UpstreamExchange(address, timers, dropped);
  }

  /**
   * Makes a call and passes on the parts of the answer. Throws `UpstreamCrashed` if the process
   * ended, `ConnectionSilent` if only the connection failed, `UpstreamRejected` or `UpstreamFailed`;
   * `undispatched` is set if nothing was written.
   */
  async *answer(call: UpstreamCall, signal: AbortSignal): AsyncGenerator<Uint8Array> {
    const connection = await this.connect(call, signal);
    const watch = this.watch(call, connection);
    const stop = AbortSignal.any([signal, watch.signal]);
    let complete = false;
    try {
      const body = await this.send(call, connection, stop);
      watch.recordActivity();
      yield* boundedBody(body, call.maxBytes, this.droppedAnswers, () => {
        watch.recordActivity();
      });
      complete = true;
    } catch (error) {
      throw await this.callError(error, signal, watch.signal);
    } finally {
      watch.end();
      if (complete) this.connections.release(connection);
      else this.connections.discard(connection);
    }
  }

  close(): void {
    this.connections.close();
  }

  private async connect(call: UpstreamCall, signal: AbortSignal): Promise<Connection> {
    const maxIdleMs = call.idempotent ? MAX_IDLE_MS : MAX_NON_IDEMPOTENT_IDLE_MS;
    const connection = await this.connections.acquire(maxIdleMs, signal);
    if (!signal.aborted) return connection;
    this.connections.discard(connection);
    throw ServeError.from(signal.reason, ErrorKind.Cancelled).asUndispatched();
  }

  private async send(
    call: UpstreamCall,
    connection: Connection,
    signal: AbortSignal,
  ): Promise<UpstreamResponse["body"]> {
    const header = requestIdHeader(call.identity);
    const { statusCode, headers, body } = await connection.request({
      path: call.path,
      method: "POST",
      headers: { "content-type": "application/json", "x-request-id": header },
      body: JSON.stringify(call.body),
      signal,
    });
    if (statusCode === OK && headers["x-request-id"] === header) return body;
    // The connection is closed with the body unread, which reports an error on the body.
    body.on("error", () => undefined);
    if (statusCode === OK) {
      this.droppedAnswers.add(DropReason.OtherCall);
      throw ServeError.create(ErrorKind.UpstreamFailed, "the answer belongs to another call");
    }
    const rejected = statusCode < FIRST_SERVER_ERROR && statusCode !== TOO_MANY_REQUESTS;
    const kind = rejected ? ErrorKind.UpstreamRejected : ErrorKind.UpstreamFailed;
    throw ServeError.create(kind, `status ${statusCode}`);
  }

  private watch(call: UpstreamCall, connection: Connection): SilenceWatch {
    const { timers, address } = this;
    const threshold = this.thresholds.get(call.path) ?? SilenceThreshold.create();
    this.thresholds.set(call.path, threshold);
    const parts = {
      timers,
      threshold,
      probe: () => probeUpstream(address, timers),
      onSilentConnection: (lastReceivedAt: number) => {
        this.connections.closeIdleBefore(lastReceivedAt);
      },
    };
    const { lastReceivedAt } = connection;
    const fresh = timers.now() - lastReceivedAt <= MAX_NON_IDEMPOTENT_IDLE_MS;
    return SilenceWatch.create(parts, {
      idempotent: call.idempotent,
      fresh,
      lastReceivedAt,
    });
  }

  /** A lost connection alone does not show whether the process ended; a fresh one does. */
  private async callError(
    error: unknown,
    signal: AbortSignal,
    silence: AbortSignal,
  ): Promise<ServeError> {
    if (signal.aborted) return ServeError.from(signal.reason, ErrorKind.Cancelled);
    if (silence.aborted) return ServeError.from(silence.reason, ErrorKind.UpstreamFailed);
    if (error instanceof ServeError) return error;
    const condition = await probeUpstream(this.address, this.timers);
    const ended = condition === UpstreamCondition.Refuses;
    return ServeError.from(error, ended ? ErrorKind.UpstreamCrashed : ErrorKind.UpstreamFailed);
  }
}
