import type { Pools } from "../admission/pools.js";
import type { Slot } from "../admission/slot.js";
import { stageCostMs } from "../admission/stage-cost.js";
import type { Work } from "../admission/work.js";
import type { Service, Stage } from "../configuration/configuration-document.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { UpstreamState } from "../configuration/upstream-state.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { CrashSuspects } from "../routing/crash-suspects.js";
import type { RetryBudget } from "../routing/retry-budget.js";
import type { Timers } from "../time/timers.js";
import type { UpstreamClients } from "../upstream/upstream-clients.js";
import type { UpstreamClient } from "../upstream/upstream-client.js";
import type { DispatchGuard } from "./dispatch-guard.js";
import type { ServeRequest } from "./serve-request.js";

const MOST_ATTEMPTS = 3;
/** Slots whose upstream left between admission and dispatch are given back this many times. */
const MOST_STALE_SLOTS = 8;
/** Wait for another suspect to leave an upstream; about the length of a short stage. */
const TRIAL_WAIT_MS = 100;

const retryable: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.UpstreamFailed,
  ErrorKind.UpstreamCrashed,
  ErrorKind.ConnectionSilent,
]);

/** Ends of attempts that say nothing about the upstream. */
const blameless: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.Cancelled,
  ErrorKind.ConnectionSilent,
  ErrorKind.RequestSuspected,
]);

/** What a stage needs from the daemon. */
export interface StageParts {
  readonly pools: Pools;
  readonly clients: UpstreamClients;
  readonly timers: Timers;
  readonly configurationView: ConfigurationView;
  readonly retryBudget: RetryBudget;
  readonly crashSuspects: CrashSuspects;
}

/** One execution of a stage on one upstream; `began` reports the first byte of the answer. */
export type StageAttempt<Result> = (
  client: UpstreamClient,
  attempt: number,
  began: () => void,
  signal: AbortSignal,
) => Promise<Result>;

interface HeldSlot extends Slot {
  /** Whether the attempt runs alone because its content is suspect. */
  readonly alone: boolean;
}

/** Runs one stage of one request: acquires upstreams and repeats failed attempts where allowed. */
export class StageRun {
  private readonly excluded = new Set<string>();
  private attempts = 0;
  private staleSlots = 0;

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
    this.parts.retryBudget.firstAttempt();
    for (;;) {
      const slot = await this.activeSlot(prompt, signal);
      try {
        return await this.attemptOn(slot, attempt, signal);
      } catch (error) {
        const failure = ServeError.from(error, ErrorKind.Internal);
        if (failure.kind === ErrorKind.RequestSuspected && this.mayRunAgainAlone(signal)) continue;
        // A silent connection says nothing against its upstream.
        if (failure.kind !== ErrorKind.ConnectionSilent) this.excluded.add(slot.upstream.id);
        if (signal.aborted || !this.mayRetry(failure)) throw failure;
      }
    }
  }

  /**
   * Gives back slots of upstreams that are leaving under the configuration in force, and shared
   * slots of a content that became suspect while it waited.
   */
  private async activeSlot(prompt: string, signal: AbortSignal): Promise<HeldSlot> {
    const { pools, crashSuspects, timers } = this.parts;
    const { request } = this;
    const { name } = this.service;
    for (;;) {
      const alone = crashSuspects.mustRunAlone(request, name);
      const slot = await pools.of(name).acquire(this.work(prompt, alone), signal);
      const { id } = slot.upstream;
      let usable = false;
      try {
        if (!this.isActive(id)) this.excluded.add(id);
        else if (!alone) usable = !crashSuspects.mustRunAlone(request, name);
        else {
          const leftMs = request.deadline - timers.now();
          const claimed = await crashSuspects.claim(request, name, id, leftMs, signal);
          // The configuration may have changed while the claim was spread.
          usable = claimed && this.isActive(id);
          if (claimed && !usable) crashSuspects.giveUp(request);
        }
      } finally {
        if (!usable) slot.release({ kind: "cancelled" });
      }
      if (usable) return { ...slot, alone };
      this.staleSlots += 1;
      if (this.staleSlots > MOST_STALE_SLOTS) {
        const detail = `the upstreams of ${this.stage.name} leave or are in use by suspects`;
        throw ServeError.create(ErrorKind.NoUpstream, detail);
      }
      if (alone) await timers.sleep(TRIAL_WAIT_MS, signal);
    }
  }

  private isActive(id: string): boolean {
    const { configuration } = this.parts.configurationView;
    const upstreams = configuration?.upstreamsOf(this.service.name) ?? [];
    return upstreams.some((one) => one.id === id && one.state === UpstreamState.Active);
  }

  private async attemptOn<Result>(
    slot: HeldSlot,
    attempt: StageAttempt<Result>,
    signal: AbortSignal,
  ): Promise<Result> {
    const { timers, clients, crashSuspects } = this.parts;
    const { name, idempotent } = this.service;
    const tracked = crashSuspects.track(this.request, name, slot.upstream.id, slot.alone);
    const stop = idempotent ? AbortSignal.any([signal, tracked.signal]) : signal;
    const start = timers.now();
    let firstByteMs: number | undefined;
    let guarded = false;
    try {
      const client = clients.of(slot.upstream);
      this.guard.beforeDispatch();
      guarded = true;
      const began = (): void => {
        firstByteMs ??= timers.now() - start;
      };
      const result = await attempt(client, this.attempts++, began, stop);
      const durationMs = timers.now() - start;
      slot.release({ kind: "succeeded", durationMs, firstByteMs: firstByteMs ?? durationMs });
      tracked.end(undefined);
      return result;
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.UpstreamFailed);
      tracked.end(failure);
      if (guarded && failure.undispatched) this.guard.notDispatched();
      slot.release(
        blameless.has(failure.kind)
          ? { kind: "cancelled" }
          : { kind: "failed", error: failure.kind, durationMs: timers.now() - start },
      );
      throw failure;
    }
  }

  /** Whether an attempt that was ended by a suspicion runs again; it did not fail by itself. */
  private mayRunAgainAlone(signal: AbortSignal): boolean {
    if (signal.aborted || this.attempts >= MOST_ATTEMPTS) return false;
    return this.service.idempotent && this.parts.timers.now() < this.request.deadline;
  }

  private mayRetry(failure: ServeError): boolean {
    if (!this.service.idempotent && !failure.undispatched) return false;
    if (this.attempts >= MOST_ATTEMPTS) return false;
    if (this.parts.timers.now() >= this.request.deadline) return false;
    return retryable.has(failure.kind) && this.parts.retryBudget.takeRetry();
  }

  private work(prompt: string, exclusive: boolean): Work {
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
      exclusive,
    };
  }
}
