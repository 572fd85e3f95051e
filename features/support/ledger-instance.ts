import { createConsola } from "consola";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { registerAttemptQuery } from "../../src/ledger/attempt-query.js";
import { AttemptState } from "../../src/ledger/attempt-state.js";
import { ClaimHolders } from "../../src/ledger/claim-holders.js";
import { ClaimWrites } from "../../src/ledger/claim-writes.js";
import { TableBreaker } from "../../src/ledger/table-breaker.js";
import { TableLedger } from "../../src/ledger/table-ledger.js";
import { WriteBatcher } from "../../src/ledger/write-batcher.js";
import type { PeerHandler } from "../../src/peer/peer-methods.js";
import { RequestState } from "../../src/pipeline/request-state.js";
import type { Table } from "../../src/table/table.js";
import { RandomSource } from "../../src/random/random-source.js";
import type { LedgerFleet } from "./ledger-fleet.js";

const WORK_MS = 50;

/** A request of a caller with an idempotency key. */
export interface KeyedRequest {
  readonly key: string;
  readonly payload?: string;
  /** Time after which the request is abandoned unless it was dispatched, in ms. */
  readonly deadlineMs: number;
}

/** The part of a daemon that takes non-idempotent requests; `stop` is a process kill. */
export class LedgerInstance {
  alive = true;
  /** Resolves when a frozen process runs again. */
  private thawed = Promise.resolve();
  private thaw: () => void = () => undefined;
  handler: PeerHandler = () => Promise.reject(new Error("no handler"));
  readonly breaker: TableBreaker;
  private readonly ledger: TableLedger;
  private readonly states = new Map<string, AttemptState>();
  private count = 0;

  private constructor(
    private readonly fleet: LedgerFleet,
    readonly id: string,
    readonly incarnation: number,
  ) {
    const { timers } = fleet;
    const table = this.gated(fleet.table);
    const random = RandomSource.create(incarnation);
    const log = createConsola({ level: -1 });
    const attemptStates = {
      stateOf: (request: string) => this.states.get(request) ?? AttemptState.Unknown,
    };
    const peerCalls = {
      call: (to: string, _method: unknown, params: unknown) =>
        this.gate(fleet.call(to, params, id)),
    };
    const tableBreaker = TableBreaker.create({ table, timers, random, log });
    const writeBatcher = WriteBatcher.create({ table, timers, tableBreaker });
    const members = fleet.membersOf(id);
    const claimHolders = ClaimHolders.create({ members, peerCalls, attemptStates, incarnation });
    this.breaker = tableBreaker;
    this.ledger = TableLedger.create({
      ...{ table, timers, random, log, tableBreaker, writeBatcher },
      claimWrites: ClaimWrites.create(),
      ...{ members, claimHolders, incarnation },
    });
    const register = (_method: unknown, handler: PeerHandler): void => {
      this.handler = handler;
    };
    registerAttemptQuery({ peerMethods: { register }, attemptStates, incarnation });
  }

  static create(fleet: LedgerFleet, id: string, incarnation: number): LedgerInstance {
    return new LedgerInstance(fleet, id, incarnation);
  }

  freeze(): void {
    this.thawed = new Promise((resolve) => {
      this.thaw = resolve;
    });
  }

  resume(): void {
    this.thaw();
  }

  /** Runs a request as the pipeline does; resolves with what the caller is told. */
  async request({ key, payload = "p", deadlineMs }: KeyedRequest): Promise<string> {
    const { fleet } = this;
    const { timers } = fleet;
    this.count += 1;
    const request = `${this.id}.${this.incarnation}.${this.count}`;
    const state = RequestState.create(timers, timers.now() + deadlineMs);
    this.states.set(request, AttemptState.Waiting);
    const abandon = (): boolean => {
      if (!state.abandon()) return false;
      this.states.set(request, AttemptState.Abandoned);
      return true;
    };
    const run = this.run(request, { key, payload, deadlineMs }, state).catch((error: unknown) => {
      const failure = ServeError.from(error, ErrorKind.Internal);
      abandon();
      return { told: `${failure.kind} ${failure.outcome}`, retryMs: failure.retryAfterMs };
    });
    const late = timers.sleep(deadlineMs).then(async () => {
      await this.thawed;
      return abandon() ? { told: "deadline-exceeded not-run", retryMs: undefined } : run;
    });
    const { told, retryMs } = await Promise.race([run, late]);
    fleet.lastRetryMs = retryMs;
    if (told.endsWith(" not-run")) fleet.notRun.add(request);
    return told;
  }

  private async run(
    request: string,
    { key, payload = "" }: KeyedRequest,
    state: RequestState,
  ): Promise<{ told: string; retryMs: undefined }> {
    const { fleet } = this;
    const entry = { team: "t", idempotencyKey: key, contentDigest: payload, request };
    const answer = await this.ledger.claim(entry);
    await this.gate(Promise.resolve());
    if (answer.kind === "running") return { told: "running", retryMs: undefined };
    if (answer.kind === "finished") return { told: answer.answer, retryMs: undefined };
    try {
      state.recordDispatch();
    } catch (error) {
      answer.claim.release();
      throw error;
    }
    this.states.set(request, AttemptState.Dispatched);
    fleet.dispatch(key, request);
    await this.gate(fleet.timers.sleep(WORK_MS));
    const done = `answer of ${request}`;
    void answer.claim.finish(done);
    return { told: done, retryMs: undefined };
  }

  private gated(table: Table): Table {
    return {
      get: (key) => this.gate(this.guard(() => table.get(key))),
      query: (...args) => this.gate(this.guard(() => table.query(...args))),
      transact: (...args) => this.gate(this.guard(() => table.transact(...args))),
    };
  }

  /** A killed process sends nothing more. */
  private guard<Result>(send: () => Promise<Result>): Promise<Result> {
    return this.alive ? send() : new Promise<never>(() => undefined);
  }

  /** A frozen process sees a result when it runs again, a killed one never. */
  private async gate<Result>(result: Promise<Result>): Promise<Result> {
    try {
      return await result;
    } finally {
      await this.thawed;
      if (!this.alive) await new Promise<never>(() => undefined);
    }
  }
}
