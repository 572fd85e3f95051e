import { JSONRPCErrorException } from "json-rpc-2.0";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { type CallLimits, PeerConnection, type PeerEnds } from "./peer-connection.js";
import { PeerMethod } from "./peer-method.js";
import { MAX_CALLS_PER_INSTANCE } from "./peer-server.js";
import { serveErrorOfCall } from "./rpc-error.js";

/**
 * Silence of a connection after which it is compared with a new one. Far above the time limit of one
 * stage submission: a peer that is only slow gets slower with each new connection.
 */
const QUIET_MS = 1_000;

/**
 * Methods that are called again on a new connection when the present one is silent or breaks: those
 * that have the same effect when they are called twice and do not wait for a change.
 */
const repeatable: Readonly<Record<PeerMethod, boolean>> = {
  [PeerMethod.Heartbeat]: true,
  [PeerMethod.Probe]: true,
  [PeerMethod.MemberNews]: true,
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
};

/** JSON-RPC calls to one peer. */
export class PeerClient {
  private connection: PeerConnection | undefined;
  private calls = 0;

  private constructor(
    private readonly timers: Timers,
    private readonly ends: PeerEnds,
  ) {}

  static create(timers: Timers, ends: PeerEnds): PeerClient {
    return new PeerClient(timers, ends);
  }

  get address(): string {
    return this.ends.address;
  }

  /** Throws the peer's own `ServeError` or `PeerUnavailable`. */
  async call(method: PeerMethod, params: unknown, timeoutMs: number): Promise<unknown> {
    const { instance } = this.ends;
    if (this.calls >= MAX_CALLS_PER_INSTANCE) {
      throw ServeError.create(ErrorKind.PeerUnavailable, `too many calls to "${instance}"`);
    }
    this.calls += 1;
    try {
      return await this.callOnce(method, params, timeoutMs);
    } catch (error) {
      throw serveErrorOfCall(error, instance);
    } finally {
      this.calls -= 1;
    }
  }

  /** Opens the connection unless it is open. */
  open(): void {
    if (this.connection?.usable !== true) this.connect();
  }

  close(): void {
    this.connection?.end("the client was closed");
  }

  private async callOnce(method: PeerMethod, params: unknown, timeoutMs: number): Promise<unknown> {
    const kept = this.connection?.usable === true;
    const used = kept && this.connection !== undefined ? this.connection : this.connect();
    const limits: CallLimits = {
      timeoutMs,
      quietMs: repeatable[method] ? QUIET_MS : Math.max(QUIET_MS, timeoutMs),
    };
    const started = this.timers.now();
    try {
      return await used.call(method, params, limits);
    } catch (error) {
      if (error instanceof JSONRPCErrorException || !repeatable[method]) throw error;
      const leftMs = timeoutMs - (this.timers.now() - started);
      // A peer that refuses a new connection refuses the next one as well.
      if (leftMs <= 0 || (!kept && !used.usable)) throw error;
      const fresh = this.freshFor(used);
      return fresh.call(method, params, { timeoutMs: leftMs, quietMs: leftMs });
    }
  }

  /** The connection that takes the place of a silent or broken one. */
  private freshFor(used: PeerConnection): PeerConnection {
    const { connection } = this;
    if (connection !== undefined && connection !== used && connection.usable) return connection;
    used.end("the connection is silent");
    return this.connect();
  }

  private connect(): PeerConnection {
    this.connection = PeerConnection.create(this.timers, this.ends);
    return this.connection;
  }
}
