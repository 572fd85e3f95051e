import { JSONRPCClient, type JSONRPCRequest, isJSONRPCResponse } from "json-rpc-2.0";
import { Pool } from "undici";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { PeerMethod } from "./peer-method.js";
import { INSTANCE_HEADER, RPC_PATH } from "./peer-server.js";
import { serveErrorOfCall } from "./rpc-error.js";

const CONNECTIONS = 8;
const MAX_CALLS = 64;
const MAX_RESPONSE_BYTES = 8_388_608;
/** Time without an answer after which a connection is compared with a new one. */
const QUIET_MS = 1_000;

/**
 * Methods that are called again on a new connection when an answer is late: those that have the
 * same effect when they are called twice and do not wait for a change.
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

interface Channel {
  readonly pool: Pool;
  readonly signal: AbortSignal;
}

/** What a client knows of both ends. */
export interface PeerEnds {
  readonly self: string;
  readonly instance: string;
  readonly address: string;
  readonly secret: string;
}

/** JSON-RPC calls to one peer. */
export class PeerClient {
  private readonly rpc: JSONRPCClient<Channel>;
  private pool: Pool;
  private calls = 0;

  private constructor(
    private readonly timers: Timers,
    private readonly ends: PeerEnds,
  ) {
    this.pool = this.connections();
    this.rpc = new JSONRPCClient((request: JSONRPCRequest, channel) => this.send(request, channel));
  }

  static create(timers: Timers, ends: PeerEnds): PeerClient {
    return new PeerClient(timers, ends);
  }

  get address(): string {
    return this.ends.address;
  }

  /** Throws the peer's own `ServeError` or `PeerUnavailable`. */
  async call(method: PeerMethod, params: unknown, timeoutMs: number): Promise<unknown> {
    const { instance } = this.ends;
    if (this.calls >= MAX_CALLS) {
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

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async callOnce(method: PeerMethod, params: unknown, timeoutMs: number): Promise<unknown> {
    const used = this.pool;
    if (!repeatable[method]) return this.attempt(used, method, params, timeoutMs);
    const quietMs = Math.min(QUIET_MS, timeoutMs / 2);
    const started = this.timers.now();
    try {
      return await this.attempt(used, method, params, quietMs);
    } catch (error) {
      if (this.timers.now() - started < quietMs) throw error;
    }
    const fresh = this.connections();
    try {
      const result = await this.attempt(fresh, method, params, timeoutMs - quietMs);
      this.replace(used, fresh);
      return result;
    } catch (error) {
      await fresh.destroy();
      throw error;
    }
  }

  private async attempt(
    pool: Pool,
    method: PeerMethod,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const stop = new AbortController();
    const limit = this.timers.after(timeoutMs, () => {
      stop.abort(new Error(`no answer within ${timeoutMs} ms`));
    });
    try {
      return (await this.rpc.request(method, params, { pool, signal: stop.signal })) as unknown;
    } finally {
      limit.cancel();
    }
  }

  /** The connections of a silent pool stay open until the calls on them reach their time limit. */
  private replace(used: Pool, fresh: Pool): void {
    if (this.pool === used) {
      this.pool = fresh;
      void used.close();
    } else {
      void fresh.close();
    }
  }

  private async send(request: JSONRPCRequest, { pool, signal }: Channel): Promise<void> {
    const { statusCode, body } = await pool.request({
      path: RPC_PATH,
      method: "POST",
      headers: {
        "content-type": "application/json",
        authorization: `Bearer ${this.ends.secret}`,
        [INSTANCE_HEADER]: this.ends.self,
      },
      body: JSON.stringify(request),
      signal,
    });
    if (statusCode !== 200) {
      await body.dump();
      throw new Error(`status ${statusCode}`);
    }
    const response: unknown = await body.json();
    if (!isJSONRPCResponse(response) || response.id !== request.id) {
      throw new Error("the answer is not the JSON-RPC response to the call");
    }
    this.rpc.receive(response);
  }

  private connections(): Pool {
    return new Pool(this.ends.address, {
      connections: CONNECTIONS,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
  }
}
