import type { Pools } from "../admission/pools.js";
import type { Slot } from "../admission/slot.js";
import { stageCostMs } from "../admission/stage-cost.js";
import type { Work } from "../admission/work.js";
import type { Service, Stage } from "../configuration/configuration-document.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import type { UpstreamClients } from "../upstream/upstream-clients.js";
import type { UpstreamClient } from "../upstream/upstream-client.js";
import type { DispatchGuard } from "./dispatch-guard.js";
import type { ServeRequest } from "./serve-request.js";

const MOST_ATTEMPTS = 3;

/** What a stage needs from the daemon. */
export interface StageParts {
  readonly pools: Pools;
  readonly clients: UpstreamClients;
  readonly timers: Timers;
}

/** One execution of a stage on one upstream; `began` reports the first byte of the answer. */
export type StageAttempt<Result> = (
  client: UpstreamClient,
  attempt: number,
  began: () => void,
) => Promise<Result>;

/** Runs one stage of one request: acquires upstreams and repeats failed attempts where allowed. */
export class StageRun {
  private readonly excluded = new Set<string>();
  private attempts = 0;

  private constructor(
    private readonly parts: StageParts,
    private readonly request: ServeRequest,
    private readonly stage: Stage,
    private readonly service: Service,
    private readonly guard: DispatchGuard,
  ) {}

  static create(
    parts: StageParts,
    request: ServeRequest,
    stage: Stage,
    service: Service,
    guard: DispatchGuard,
  ): StageRun {
    return new StageRun(parts, request, stage, service, guard);
  }

  /** Runs attempts until one succeeds; throws the error of the last one. */
  async run<Result>(
    prompt: string,
    attempt: StageAttempt<Result>,
    signal: AbortSignal,
  ): Promise<Result> {
    for (;;) {
      const slot = await this.parts.pools.of(this.service.name).acquire(this.work(prompt), signal);
      try {
        return await this.attemptOn(slot, attempt);
      } catch (error) {
        this.excluded.add(slot.upstream.id);
        if (!this.mayRetry(error)) throw error;
      }
    }
  }

  private async attemptOn<Result>(slot: Slot, attempt: StageAttempt<Result>): Promise<Result> {
    const { timers, clients } = this.parts;
    const start = timers.now();
    let firstByteMs: number | undefined;
    try {
      const client = clients.of(slot.upstream);
      this.guard.beforeDispatch();
      const result = await attempt(client, this.attempts++, () => {
        firstByteMs ??= timers.now() - start;
      });
      const durationMs = timers.now() - start;
      slot.release({ kind: "succeeded", durationMs, firstByteMs: firstByteMs ?? durationMs });
      return result;
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.UpstreamFailed);
      slot.release(
        failure.kind === ErrorKind.Cancelled
          ? { kind: "cancelled" }
          : { kind: "failed", error: failure.kind, durationMs: timers.now() - start },
      );
      throw failure;
    }
  }

  private mayRetry(error: unknown): boolean {
    if (!this.service.idempotent || this.attempts >= MOST_ATTEMPTS) return false;
    if (this.parts.timers.now() >= this.request.deadline) return false;
    const kind = error instanceof ServeError ? error.kind : ErrorKind.Internal;
    return kind === ErrorKind.UpstreamFailed || kind === ErrorKind.UpstreamCrashed;
  }

  private work(prompt: string): Work {
    const { request } = this;
    return {
      request: request.id,
      team: request.team,
      className: request.workClass.name,
      rank: request.workClass.rank,
      stage: this.stage.name,
      costMs: stageCostMs(this.service.kind, request.input),
      deadline: request.deadline,
      prompt,
      contentDigest: request.contentDigest,
      excluded: this.excluded,
    };
  }
}
