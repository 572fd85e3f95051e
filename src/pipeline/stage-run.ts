import type { Service, Stage } from "../configuration/configuration-document.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { AttemptRace, type RaceEntry } from "./attempt-race.js";
import type { DispatchGuard } from "./dispatch-guard.js";
import type { HeldSlot } from "./held-slot.js";
import type { ServeRequest } from "./serve-request.js";
import type { StageAttempt } from "./stage-attempt.js";
import type { StageParts } from "./stage-parts.js";
import { StageSlots } from "./stage-slots.js";

const MAX_ATTEMPTS = 3;
/**
 * Number of attempts that certainly sent nothing, for example to a process that has ended, that do
 * not count towards `MAX_ATTEMPTS`.
 */
const MAX_UNDISPATCHED_ATTEMPTS = 5;

const retryableErrors: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.UpstreamFailed,
  ErrorKind.UpstreamCrashed,
  ErrorKind.ConnectionSilent,
]);

/** Errors that do not indicate a fault of the upstream. */
const errorsWithoutUpstreamFault: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.Cancelled,
  ErrorKind.ConnectionSilent,
  ErrorKind.RequestSuspected,
]);

/** Runs one stage of one request: acquires upstreams, and retries failed attempts where allowed. */
export class StageRun {
  private readonly slots: StageSlots;
  private countedAttempts = 0;
  private undispatchedAttempts = 0;
  /** Number of attempts sent, including hedges. */
  private sentAttempts = 0;

  private constructor(
    private readonly parts: StageParts,
    private readonly request: ServeRequest,
    private readonly stage: Stage,
    private readonly service: Service,
    private readonly guard: DispatchGuard,
  ) {
    this.slots = StageSlots.create(parts, request, stage, service);
  }

  static create(
    parts: StageParts,
    request: ServeRequest,
    stage: Stage,
    service: Service,
    guard: DispatchGuard,
  ): StageRun {
    return new StageRun(parts, request, stage, service, guard);
  }

  /** Runs attempts until one succeeds; throws the error of the last attempt. */
  async run<Result>(
    prompt: string,
    attempt: StageAttempt<Result>,
    signal: AbortSignal,
  ): Promise<Result> {
    this.parts.retryBudget.recordFirstAttempt();
    this.parts.hedges.recordFirstAttempt();
    for (;;) {
      const slot = await this.slots.acquireForAttempt(prompt, signal);
      try {
        this.countedAttempts += 1;
        return await this.race(slot, prompt, attempt, signal);
      } catch (error) {
        const failure = ServeError.from(error, ErrorKind.Internal);
        if (failure.undispatched && this.undispatchedAttempts < MAX_UNDISPATCHED_ATTEMPTS) {
          this.undispatchedAttempts += 1;
          this.countedAttempts -= 1;
        }
        if (failure.kind === ErrorKind.RequestSuspected && this.mayRerunAlone(signal)) continue;
        if (signal.aborted || !this.mayRetry(failure)) throw failure;
      }
    }
  }

  /** Runs an attempt and, if it is slow, a hedge; the first to answer wins. */
  private async race<Result>(
    slot: HeldSlot,
    prompt: string,
    attempt: StageAttempt<Result>,
    signal: AbortSignal,
  ): Promise<Result> {
    const race = AttemptRace.create(this.parts.droppedAnswers);
    const first = this.attemptOn(slot, attempt, signal, race.enter());
    const delayMs = this.parts.hedges.delayMs(this.service.name);
    if (delayMs === undefined || slot.alone || !this.service.idempotent) return first;
    const ended = new AbortController();
    const stop = AbortSignal.any([signal, race.decided, ended.signal]);
    const hedge = this.slots
      .acquireForHedge(slot, prompt, delayMs, stop)
      .then((second) => this.attemptOn(second, attempt, signal, race.enter()));
    const end = (): void => {
      ended.abort(ServeError.create(ErrorKind.Cancelled, "the attempt has ended"));
    };
    first.then(end, end);
    try {
      return await Promise.any([first, hedge]);
    } catch (error) {
      const failures = (error as AggregateError).errors.map((one) =>
        ServeError.from(one, ErrorKind.Internal),
      );
      const reported = failures.find(({ kind }) => kind !== ErrorKind.Cancelled) ?? failures[0];
      throw ServeError.from(reported, ErrorKind.Internal);
    }
  }

  private async attemptOn<Result>(
    slot: HeldSlot,
    attempt: StageAttempt<Result>,
    signal: AbortSignal,
    entry: RaceEntry,
  ): Promise<Result> {
    const { timers, clients, crashSuspects, hedges } = this.parts;
    const { name, idempotent } = this.service;
    const tracked = crashSuspects.track(this.request, name, slot.upstream.id, slot.alone);
    const stop = idempotent ? AbortSignal.any([signal, tracked.signal, entry.signal]) : signal;
    const start = timers.now();
    let firstByteMs: number | undefined;
    let dispatchRecorded = false;
    const extra = this.sentAttempts > 0;
    try {
      const client = clients.of(slot.upstream);
      this.guard.recordDispatch();
      dispatchRecorded = true;
      const onProgress = (): void => {
        entry.win();
        firstByteMs ??= timers.now() - start;
      };
      const result = await attempt(client, this.sentAttempts++, onProgress, stop);
      entry.win();
      const durationMs = timers.now() - start;
      slot.release({ kind: "succeeded", durationMs, firstByteMs: firstByteMs ?? durationMs });
      tracked.end(undefined);
      hedges.recordLatency(name, firstByteMs ?? durationMs);
      return result;
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.UpstreamFailed);
      tracked.end(failure);
      if (!errorsWithoutUpstreamFault.has(failure.kind)) this.slots.exclude(slot.upstream.id);
      if (dispatchRecorded && failure.undispatched) this.guard.revertDispatch();
      slot.release(
        errorsWithoutUpstreamFault.has(failure.kind)
          ? { kind: "cancelled" }
          : { kind: "failed", error: failure.kind, durationMs: timers.now() - start },
      );
      throw failure;
    } finally {
      if (dispatchRecorded) {
        this.parts.stageCosts.record(this.stage.name, slot.upstream, timers.now() - start, extra);
      }
    }
  }

  /** Whether an attempt that was aborted because its content became suspect may run again alone. */
  private mayRerunAlone(signal: AbortSignal): boolean {
    if (signal.aborted || this.countedAttempts >= MAX_ATTEMPTS) return false;
    return this.service.idempotent && this.parts.timers.now() < this.request.deadline;
  }

  private mayRetry(failure: ServeError): boolean {
    if (!this.service.idempotent && !failure.undispatched) return false;
    if (this.countedAttempts >= MAX_ATTEMPTS) return false;
    if (this.parts.timers.now() >= this.request.deadline) return false;
    return retryableErrors.has(failure.kind) && this.parts.retryBudget.takeRetry();
  }
}
