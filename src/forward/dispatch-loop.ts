import { AttemptPhase } from "../crash/attempt-phase.js";
import { contentRefusal } from "../crash/content-refusal.js";
import { ErrorKind } from "../error/error-kind.js";
import { Outcome } from "../error/outcome.js";
import { ServeError } from "../error/serve-error.js";
import type { Permit } from "../limit/permit.js";
import { attemptDispatch } from "./attempt-dispatch.js";
import { attemptLine } from "./attempt-line.js";
import type { AttemptOutcome } from "./attempt-outcome.js";
import type { DispatchParts } from "./dispatch-parts.js";
import { attemptSilenceMs, canRetry } from "./retry-rules.js";
import { attemptLatencyRatio } from "./expected-latency.js";
import { scheduleInputsRead } from "./inputs-read.js";
import type { RequestContext } from "./request-context.js";
import { Repeatability } from "./repeatability.js";
import { UpstreamAttempt } from "./upstream-attempt.js";
import type { StageInputs } from "./stage-inputs.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import { AttemptSelection } from "../version/attempt-selection.js";
import type { StreamVersion } from "../version/stream-version.js";
import { SentKind } from "./upstream-statements.js";

/** Upstreams that may decline a request without running it before the request is refused. */
const MAX_NOT_RUN_ATTEMPTS = 3;
/** Connection failures, each at a different upstream, after which a request fails. */
const MAX_UNSENT_ATTEMPTS = 4;

/** Sends a request to upstreams until one responds or the request may not be retried. */
export class DispatchLoop {
  private readonly selection: AttemptSelection;
  private notRunAttempts = 0;
  private unsentAttempts = 0;
  /** Attempts that may have run. */
  private runCount = 0;

  private constructor(
    private readonly parts: DispatchParts,
    private readonly context: RequestContext,
    private readonly streamVersion: StreamVersion,
    private readonly inputs: StageInputs | undefined,
    private readonly onInputsRead: () => void,
  ) {
    this.selection = AttemptSelection.create(parts, context, streamVersion, inputs);
  }

  /** `onInputsRead` is called when an engine has read the stage results `inputs`. */
  static create(
    parts: DispatchParts,
    context: RequestContext,
    streamVersion: StreamVersion,
    inputs: StageInputs | undefined,
    onInputsRead: () => void,
  ): DispatchLoop {
    return new DispatchLoop(parts, context, streamVersion, inputs, onInputsRead);
  }

  /** Whether the request may have run at an upstream. */
  get mayHaveRun(): boolean {
    return this.runCount > 0;
  }

  /** Returns the status sent to the caller; throws `ServeError` if no attempt is left. */
  async run(): Promise<number> {
    const { retryBudget } = this.parts;
    const { service } = this.context;
    retryBudget.recordRequest(service);
    for (;;) {
      const { entry, permit } = await this.select().catch((error: unknown) => {
        throw this.withOutcome(error);
      });
      const outcome = await this.attempt(entry, permit);
      const status = await this.handleOutcome(entry, outcome);
      if (status !== undefined) return status;
      const sent = outcome.kind !== "unsent" && outcome.kind !== "withheld";
      if (sent && !retryBudget.tryTakeRetry(service)) {
        throw this.createError(ErrorKind.UpstreamFailed, "the retry budget is exhausted");
      }
    }
  }

  private async select(): Promise<{ entry: UpstreamEntry; permit: Permit | undefined }> {
    const { promptGuard, timers } = this.parts;
    const { context } = this;
    const pauseMs = promptGuard.pauseMs(context.service, context.sharedParts);
    if (pauseMs > 0) await timers.sleep(pauseMs, context.signal);
    const refusal = contentRefusal(this.parts, context);
    if (refusal !== undefined) throw this.createError(refusal, "the content crashed upstreams");
    const outcome = await this.selection.select(this.mayHaveRun);
    switch (outcome.kind) {
      case "selected":
        return outcome;
      case "limited":
        throw this.createError(
          ErrorKind.Overloaded,
          "all upstreams have reached the limits that they state",
          outcome.availableInMs,
        );
      case "none":
        throw this.createError(ErrorKind.NoUpstream, "no upstream is left");
    }
  }

  private async attempt(entry: UpstreamEntry, permit: Permit | undefined): Promise<AttemptOutcome> {
    const { timers, upstreamHealth, upstreamStatements, dialect } = this.parts;
    const { decisionLines, forwardMetrics, promptGuard, upstreamReach, bufferBudget } = this.parts;
    const { context, streamVersion, inputs } = this;
    const { request, attributes, route, progress, writer, service, sharedParts } = context;
    const health = upstreamHealth.of(entry.id);
    const streamed = route.repeatability === Repeatability.Stream;
    const work = this.parts.enginePlacement.begin(entry, attributes.promptParts, { streamed });
    this.selection.recordAttempt(entry);
    const startedMs = timers.now();
    const after = progress.lastEventId;
    const sendState = { sent: false, recordAnswered: (): void => undefined };
    health.inFlight += 1;
    try {
      const outcome = await UpstreamAttempt.create(
        { timers, dialect, bufferBudget },
        {
          request,
          attemptId: attributes.attemptId,
          entry,
          dispatch: attemptDispatch(context, entry.id, inputs, startedMs),
          writer,
          progress,
          streamed,
          silenceTimeoutMs: attemptSilenceMs(context, this.runCount),
          trySend: () => {
            // Another instance may have found out more while the connection was opened.
            if (contentRefusal(this.parts, context) !== undefined) return false;
            if (!streamVersion.allows(entry)) return false;
            sendState.sent = upstreamStatements.trySend(entry, health, SentKind.Request, permit);
            if (!sendState.sent) return false;
            scheduleInputsRead(this.parts, { route, inputs, entry }, this.onInputsRead);
            sendState.recordAnswered = upstreamReach.recordRequest(entry);
            return true;
          },
          onResponseHead: (responseAttributes) => {
            sendState.recordAnswered();
            upstreamReach.recordContact();
            upstreamStatements.recordResponse(entry, health, responseAttributes, permit);
          },
          onResponseStart: () => {
            work?.answerHead();
            this.onInputsRead();
          },
          onAnswer: () => {
            promptGuard.recordAnswer(service, sharedParts);
          },
          beginStream: () => streamVersion.begin(entry),
          onEvents: () => {
            work?.answer();
            upstreamReach.recordReceived();
            streamVersion.recordEvents(entry);
          },
          signal: context.signal,
        },
      ).run();
      if (outcome.kind === "broken") work?.breakOff();
      forwardMetrics.recordAttempt(service, outcome.kind);
      const span = { startedMs, endedMs: timers.now(), after, placed: work?.fields };
      decisionLines.write("attempt", attemptLine(context, entry, outcome, span));
      if (outcome.kind === "relayed") {
        const latencyRatio = attemptLatencyRatio(context, timers.now() - startedMs, this.runCount);
        if (latencyRatio !== undefined) health.recordSuccess(latencyRatio);
      }
      return outcome;
    } catch (error) {
      // The deadline passed or the caller disconnected while the upstream had the request.
      if (sendState.sent) this.runCount += 1;
      throw this.withOutcome(error);
    } finally {
      sendState.recordAnswered();
      health.inFlight -= 1;
      work?.end();
    }
  }

  /** Returns the status if the request is complete, undefined to retry; otherwise throws. */
  private async handleOutcome(
    entry: UpstreamEntry,
    outcome: AttemptOutcome,
  ): Promise<number | undefined> {
    const { upstreamHealth, upstreamReach, upstreamStatements, dialect } = this.parts;
    const { context } = this;
    const health = upstreamHealth.of(entry.id);
    switch (outcome.kind) {
      case "relayed":
        return outcome.status;
      case "unsent":
        health.recordUnreachable();
        upstreamReach.recordFailure(entry);
        this.unsentAttempts += 1;
        if (this.unsentAttempts < MAX_UNSENT_ATTEMPTS && !upstreamReach.isIsolated)
          return undefined;
        throw this.createError(ErrorKind.NoUpstream, outcome.detail);
      case "withheld":
        // Since it was selected, the upstream has closed or stated a limit, or the permit expired.
        this.selection.recordUnused(entry);
        if (!upstreamStatements.isOpen(entry, health)) return undefined;
        this.unsentAttempts += 1;
        if (this.unsentAttempts < MAX_UNSENT_ATTEMPTS) return undefined;
        throw this.createError(ErrorKind.Overloaded, "permits expired before they could be used");
      case "not-run":
        this.notRunAttempts += 1;
        this.selection.recordDeclined(entry);
        this.parts.brittleUpstreams.recordRejection(entry);
        if (this.notRunAttempts < MAX_NOT_RUN_ATTEMPTS) return undefined;
        throw this.createError(ErrorKind.Overloaded, `upstreams refused: status ${outcome.status}`);
      case "inputs-gone":
        throw ServeError.create(ErrorKind.InputsGone, "results were released or have expired");
      case "reported":
        health.recordFailure();
        this.runCount += 1;
        if (canRetry(context, this.runCount)) return undefined;
        context.writer.send(outcome.status, dialect.callerHeaders(outcome.headers), outcome.body);
        return outcome.status;
      case "broken":
        health.recordFailure();
        this.runCount += 1;
        if (await this.mayRetryBroken(entry, outcome.phase)) return undefined;
        throw this.createError(ErrorKind.UpstreamFailed, outcome.detail);
    }
  }

  /** A request that may itself have crashed its upstream is not sent to another one. */
  private async mayRetryBroken(entry: UpstreamEntry, phase: AttemptPhase): Promise<boolean> {
    const { attributes, digest, sharedParts } = this.context;
    const attempt = { attemptId: attributes.attemptId, entry, digest, sharedParts, phase };
    const suspect = this.parts.crashReports.record(attempt);
    if (!canRetry(this.context, this.runCount)) return false;
    return phase !== AttemptPhase.Begun || !(await suspect);
  }

  /** The deadline may also pass between two attempts. */
  private withOutcome(error: unknown): ServeError {
    const failure = ServeError.from(error, ErrorKind.Internal);
    return this.mayHaveRun ? failure.afterDispatch() : failure;
  }

  private createError(kind: ErrorKind, detail: string, retryAfterMs?: number): ServeError {
    return ServeError.create(kind, detail, {
      outcome: this.mayHaveRun ? Outcome.MayHaveRun : Outcome.NotRun,
      ...this.parts.upstreamSelector.retryAfter(this.context.service),
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
  }
}
