import { ErrorKind } from "../error/error-kind.js";
import { Outcome } from "../error/outcome.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import type { AttemptOutcome } from "./attempt-outcome.js";
import type { CrashProbe } from "./crash-probe.js";
import type { CrashRegistry } from "./crash-registry.js";
import type { DecisionLines } from "./decision-lines.js";
import type { Dialect } from "./dialect.js";
import type { RetryBudget } from "./retry-budget.js";
import type { ForwardMetrics } from "./forward-metrics.js";
import type { RequestContext } from "./request-context.js";
import { silenceTimeoutMs } from "./silence-timeout.js";
import { Repeatability } from "./repeatability.js";
import { isRepeatable } from "./route.js";
import { UpstreamAttempt } from "./upstream-attempt.js";
import type { UpstreamSelector } from "./upstream-selector.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";
import { SentKind, type UpstreamStatements } from "./upstream-statements.js";

/** Upstreams that may decline a request without running it before the request is refused. */
const MAX_NOT_RUN_ATTEMPTS = 3;
/** Connection failures, each at a different upstream, after which a request fails. */
const MAX_UNSENT_ATTEMPTS = 4;
/** Typical latency of a plain service; only ratios between upstreams matter. */
const EXPECTED_PLAIN_LATENCY_MS = 45;
/** Events that a stream needs before its event interval is used to rate the engine. */
const MIN_RATED_EVENTS = 4;
/** Typical time between stream events; only ratios between engines matter. */
const EXPECTED_EVENT_INTERVAL_MS = 20;
const MAX_URGENCY = 9;
/** Time in which an engine with free slots reads the stage results; several transfers. */
const INPUTS_READ_DELAY_MS = 120;
/** Slot utilization of an engine up to which it starts a request immediately. */
const MAX_UTILIZATION = 0.5;

interface Parts {
  readonly timers: Timers;
  readonly dialect: Dialect;
  readonly directory: UpstreamDirectory;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly upstreamSelector: UpstreamSelector;
  readonly upstreamStatements: UpstreamStatements;
  readonly retryBudget: RetryBudget;
  readonly crashRegistry: CrashRegistry;
  readonly crashProbe: CrashProbe;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: ForwardMetrics;
}

/** Sends a request to upstreams until one responds or the request may not be retried. */
export class DispatchLoop {
  private readonly tried = new Set<string>();
  private notRunAttempts = 0;
  private unsentAttempts = 0;
  /** Attempts that may have run. */
  private runCount = 0;

  private constructor(
    private readonly parts: Parts,
    private readonly context: RequestContext,
    private readonly inputs: readonly string[] | undefined,
    private readonly onInputsRead: () => void,
  ) {}

  /** `onInputsRead` is called when an engine has read the stage results of the handles `inputs`. */
  static create(
    parts: Parts,
    context: RequestContext,
    inputs: readonly string[] | undefined,
    onInputsRead: () => void,
  ): DispatchLoop {
    return new DispatchLoop(parts, context, inputs, onInputsRead);
  }

  /** Whether the request may have run at an upstream. */
  get mayHaveRun(): boolean {
    return this.runCount > 0;
  }

  /** Returns the status sent to the caller; throws `ServeError` if no attempt is left. */
  async run(): Promise<number> {
    const { retryBudget, upstreamSelector } = this.parts;
    const { service, attributes } = this.context;
    retryBudget.recordRequest(service);
    for (;;) {
      const entry = upstreamSelector.select(service, attributes.promptParts, this.tried);
      if (entry === undefined) throw this.createError(ErrorKind.NoUpstream, "no upstream is left");
      const outcome = await this.attempt(entry);
      const status = this.handleOutcome(entry, outcome);
      if (status !== undefined) return status;
      const sent = outcome.kind !== "unsent";
      if (sent && !retryBudget.tryTakeRetry(service)) {
        throw this.createError(ErrorKind.UpstreamFailed, "the retry budget is exhausted");
      }
    }
  }

  private async attempt(entry: UpstreamEntry): Promise<AttemptOutcome> {
    const { timers, upstreamHealth, dialect, decisionLines, forwardMetrics } = this.parts;
    const { context } = this;
    const { request, attributes, route, progress, writer, team, service } = context;
    const health = upstreamHealth.of(entry.id);
    this.tried.add(entry.id);
    const startedMs = timers.now();
    const sendState = { sent: false };
    health.inFlight += 1;
    try {
      const streamed = route.repeatability === Repeatability.Stream;
      const outcome = await UpstreamAttempt.create(
        { timers, dialect },
        {
          request,
          attemptId: attributes.attemptId,
          entry,
          dispatch: {
            upstream: entry.id,
            remainingMs: Math.max(1, Math.floor(context.deadlineMs - startedMs)),
            team: team?.name,
            inputs: this.inputs,
            lastEventId: progress.lastEventId,
            urgency: streamed ? Math.min(MAX_URGENCY, context.rank) : undefined,
          },
          writer,
          progress,
          streamed,
          silenceTimeoutMs: this.silenceTimeoutMs(),
          onSent: () => {
            sendState.sent = true;
            this.parts.upstreamStatements.recordSent(entry, health, SentKind.Request);
            this.scheduleInputsRead(entry);
          },
          onResponseHead: (responseAttributes) => {
            this.parts.upstreamStatements.recordResponse(entry, health, responseAttributes);
          },
          onResponseStart: () => {
            this.onInputsRead();
          },
          signal: context.signal,
        },
      ).run();
      forwardMetrics.recordAttempt(service, outcome.kind);
      decisionLines.write("attempt", {
        attempt: attributes.attemptId,
        upstream: entry.id,
        service,
        leftMs: Math.round(context.deadlineMs - startedMs),
        promptTokens: attributes.promptParts.reduce((sum, { tokens }) => sum + tokens, 0),
        ms: Math.round(timers.now() - startedMs),
        end: outcome.kind,
        ...("status" in outcome ? { status: outcome.status } : {}),
        ...("detail" in outcome ? { detail: outcome.detail } : {}),
      });
      if (outcome.kind === "relayed") this.recordSuccess(entry, timers.now() - startedMs);
      return outcome;
    } catch (error) {
      // The deadline passed or the caller disconnected while the upstream had the request.
      if (sendState.sent) this.runCount += 1;
      throw this.mayHaveRun ? ServeError.from(error, ErrorKind.Internal).afterDispatch() : error;
    } finally {
      health.inFlight -= 1;
    }
  }

  /** Returns the status if the request is complete, undefined to retry; otherwise throws. */
  private handleOutcome(entry: UpstreamEntry, outcome: AttemptOutcome): number | undefined {
    const { upstreamHealth, crashRegistry, crashProbe, dialect } = this.parts;
    const { context } = this;
    const health = upstreamHealth.of(entry.id);
    switch (outcome.kind) {
      case "relayed":
        return outcome.status;
      case "unsent":
        health.recordUnreachable();
        this.unsentAttempts += 1;
        if (this.unsentAttempts < MAX_UNSENT_ATTEMPTS) return undefined;
        throw this.createError(ErrorKind.NoUpstream, outcome.detail);
      case "not-run":
        this.notRunAttempts += 1;
        if (this.notRunAttempts < MAX_NOT_RUN_ATTEMPTS) return undefined;
        throw this.createError(ErrorKind.Overloaded, `upstreams refused: status ${outcome.status}`);
      case "inputs-gone":
        throw ServeError.create(ErrorKind.InputsGone, "results were released or have expired");
      case "reported":
        health.recordFailure();
        this.runCount += 1;
        if (this.canRetry()) return undefined;
        context.writer.send(outcome.status, dialect.callerHeaders(outcome.headers), outcome.body);
        return outcome.status;
      case "broken":
        health.recordFailure();
        this.runCount += 1;
        void crashProbe.hasCrashed(entry).then((crashed) => {
          if (crashed) crashRegistry.recordCrash(context.digest, context.service, entry.id);
        });
        if (this.canRetry()) return undefined;
        throw this.createError(ErrorKind.UpstreamFailed, outcome.detail);
    }
  }

  /** An engine with free slots reads the stage results as soon as the request arrives. */
  private scheduleInputsRead(entry: UpstreamEntry): void {
    const { timers, upstreamHealth, directory, retryBudget } = this.parts;
    if (this.inputs === undefined || this.inputs.length === 0) return;
    // A repeatable request needs the results again when it is retried.
    if (isRepeatable(this.context.route)) return;
    const utilization = upstreamHealth.of(entry.id).inFlight / Math.max(1, entry.slots);
    if (
      utilization * retryBudget.instanceCount > MAX_UTILIZATION ||
      directory.remainingWarmupMs(entry.id) > 0
    )
      return;
    timers.after(INPUTS_READ_DELAY_MS, () => {
      this.onInputsRead();
    });
  }

  private canRetry(): boolean {
    const { route, writer, progress } = this.context;
    if (!isRepeatable(route) || this.runCount >= route.maxAttempts) return false;
    // A started stream can only be resumed after an event with an ID.
    return !writer.started || progress.events === 0 || progress.lastEventId !== undefined;
  }

  private silenceTimeoutMs(): number | undefined {
    const { route, targetMs, request } = this.context;
    if (!isRepeatable(route) || this.runCount + 1 >= route.maxAttempts) return undefined;
    return silenceTimeoutMs(route, targetMs - request.arrivedMs);
  }

  private recordSuccess(entry: UpstreamEntry, durationMs: number): void {
    const health = this.parts.upstreamHealth.of(entry.id);
    const { events, firstEventMs, lastEventMs } = this.context.progress;
    if (this.context.route.repeatability !== Repeatability.Stream) {
      health.recordSuccess(durationMs / EXPECTED_PLAIN_LATENCY_MS);
    } else if (events >= MIN_RATED_EVENTS && firstEventMs !== undefined && this.runCount === 0) {
      const eventIntervalMs = ((lastEventMs ?? firstEventMs) - firstEventMs) / (events - 1);
      health.recordSuccess(eventIntervalMs / EXPECTED_EVENT_INTERVAL_MS);
    }
  }

  private createError(kind: ErrorKind, detail: string): ServeError {
    return ServeError.create(kind, detail, {
      outcome: this.mayHaveRun ? Outcome.MayHaveRun : Outcome.NotRun,
      ...this.parts.upstreamSelector.retryAfter(this.context.service),
    });
  }
}
