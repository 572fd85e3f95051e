import { JSONRPCErrorException } from "json-rpc-2.0";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import type { CallRider } from "./call-rider.js";
import { type CallLimits, PeerConnection, type PeerEndpoints } from "./peer-connection.js";
import { PeerMethod } from "./peer-method.js";
import { MAX_CALLS_PER_INSTANCE } from "./peer-server.js";
import { serveErrorOfCall } from "./rpc-error.js";

/**
 * Silence of a connection after which a call is repeated on a new one. Far above the time limit of
 * one stage submission: each new connection slows down a peer that is only slow.
 */
const SILENCE_TIMEOUT_MS = 1_000;

/**
 * Methods that are retried on a new connection when the present one is silent or breaks: those that
 * are idempotent and do not wait for a change.
 */
const repeatableMethods: Readonly<Record<PeerMethod, boolean>> = {
  [PeerMethod.Heartbeat]: true,
  [PeerMethod.Probe]: true,
  [PeerMethod.MemberChanges]: true,
  [PeerMethod.Broadcast]: true,
  [PeerMethod.ConfigurationChangesSince]: true,
  [PeerMethod.ConfigurationAgreement]: true,
  [PeerMethod.LedgerAttempt]: true,
  [PeerMethod.AnswerRead]: true,
  [PeerMethod.StageSubmit]: true,
  [PeerMethod.StageCancel]: true,
  [PeerMethod.StageRelease]: true,
  [PeerMethod.StageResults]: true,
  [PeerMethod.StoreRows]: false,
  [PeerMethod.LimitPermit]: false,
  [PeerMethod.LimitReport]: true,
  [PeerMethod.LimitsKnown]: true,
  [PeerMethod.WarmupPermit]: false,
  [PeerMethod.StreamRecords]: true,
};

/** JSON-RPC calls to one peer. */
export class PeerClient {
  private connection: PeerConnection | undefined;
  private callsInProgress = 0;

  private constructor(
    private readonly timers: Timers,
    private readonly endpoints: PeerEndpoints,
    private readonly callRider: CallRider | undefined,
  ) {}

  static create(timers: Timers, endpoints: PeerEndpoints, callRider?: CallRider): PeerClient {
    return new PeerClient(timers, endpoints, callRider);
  }

  get address(): string {
    return this.endpoints.address;
  }

  /** Throws the peer's own `ServeError` or `PeerUnavailable`. */
  async call(method: PeerMethod, params: unknown, timeoutMs: number): Promise<unknown> {
    const { instance } = this.endpoints;
    if (this.callsInProgress >= MAX_CALLS_PER_INSTANCE) {
      throw ServeError.create(
        ErrorKind.PeerUnavailable,
        `too many calls in progress to instance "${instance}"`,
      );
    }
    this.callsInProgress += 1;
    try {
      return await this.callWithRetry(method, params, timeoutMs);
    } catch (error) {
      throw serveErrorOfCall(error, instance);
    } finally {
      this.callsInProgress -= 1;
    }
  }

  /** Opens the connection unless it is open. */
  open(): void {
    if (this.connection?.usable !== true) this.connect();
  }

  close(): void {
    this.connection?.end("the peer client was closed");
  }

  private async callWithRetry(
    method: PeerMethod,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const reused = this.connection?.usable === true;
    const current = reused && this.connection !== undefined ? this.connection : this.connect();
    const limits: CallLimits = {
      timeoutMs,
      silenceTimeoutMs: repeatableMethods[method]
        ? SILENCE_TIMEOUT_MS
        : Math.max(SILENCE_TIMEOUT_MS, timeoutMs),
    };
    const startedMs = this.timers.now();
    try {
      return await current.call(method, params, limits);
    } catch (error) {
      if (error instanceof JSONRPCErrorException || !repeatableMethods[method]) throw error;
      const remainingMs = timeoutMs - (this.timers.now() - startedMs);
      // If a new connection failed, the next one would most likely fail as well.
      if (remainingMs <= 0 || (!reused && !current.usable)) throw error;
      const replacement = this.replacementFor(current);
      return replacement.call(method, params, {
        timeoutMs: remainingMs,
        silenceTimeoutMs: remainingMs,
      });
    }
  }

  /** The connection that replaces a silent or broken one. */
  private replacementFor(previous: PeerConnection): PeerConnection {
    const { connection } = this;
    if (connection !== undefined && connection !== previous && connection.usable) return connection;
    previous.end("the connection is silent");
    return this.connect();
  }

  private connect(): PeerConnection {
    this.connection = PeerConnection.create(this.timers, this.endpoints, this.callRider);
    return this.connection;
  }
}
