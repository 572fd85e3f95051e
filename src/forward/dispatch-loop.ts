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
import { recordAvailability } from "./upstream-availability.js";

/** Upstreams that may decline a request without running it before it is refused. */
const MAX_NOT_RUN = 3;
/** Connection failures, each at another upstream, after which a request fails. */
const MAX_UNSENT = 4;
/** Work of an average request at a plain service, in ms; only ratios between upstreams matter. */
const EXPECTED_PLAIN_MS = 45;
/** Events from which the pace of a stream says something about its engine. */
const MIN_PACE_EVENTS = 4;
/** Typical time between events in ms; only ratios between engines matter. */
const EXPECTED_EVENT_MS = 20;
const MAX_URGENCY = 9;
/** Time after which an engine with free slots has read the results; several transfers. */
const READ_DELAY_MS = 120;
/** Share of an engine's slots in use up to which it admits a request immediately. */
const MAX_UTILIZATION = 0.5;

interface Parts {
  readonly timers: Timers;
  readonly dialect: Dialect;
  readonly directory: UpstreamDirectory;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly upstreamSelector: UpstreamSelector;
  readonly retryBudget: RetryBudget;
  readonly crashRegistry: CrashRegistry;
  readonly crashProbe: CrashProbe;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: ForwardMetrics;
}

/** Sends a request to upstreams until one has answered it or it may not be sent again. */
export class DispatchLoop {
  private readonly tried = new Set<string>();
  private notRunCount = 0;
  private unsentCount = 0;
  private executed = 0;

  private constructor(
    private readonly parts: Parts,
    private readonly context: RequestContext,
    private readonly inputs: readonly string[] | undefined,
    private readonly onInputsRead: () => void,
  ) {}

  /** `inputs` are result handles; `inputsRead` is called when an engine has read the results. */
  static create(
    parts: Parts,
    context: RequestContext,
    inputs: readonly string[] | undefined,
    inputsRead: () => void,
  ): DispatchLoop {
    return new DispatchLoop(parts, context, inputs, inputsRead);
  }

  /** Whether the request may have run at an upstream. */
  get mayHaveRun(): boolean {
    return this.executed > 0;
  }

  /** Returns the status that was passed on; throws `ServeError` if nothing more can be tried. */
  async run(): Promise<number> {
    const { retryBudget, upstreamSelector } = this.parts;
    const { service, attributes } = this.context;
    retryBudget.recordRequest(service);
    for (;;) {
      const entry = upstreamSelector.select(service, attributes.promptParts, this.tried);
      if (entry === undefined) throw this.createError(ErrorKind.NoUpstream, "no upstream is left");
      const end = await this.attempt(entry);
      const status = this.handleOutcome(entry, end);
      if (status !== undefined) return status;
      const sent = end.kind !== "unsent";
      if (sent && !retryBudget.tryTakeRetry(service)) {
        throw this.createError(ErrorKind.UpstreamFailed, "the retry budget is spent");
      }
    }
  }

  private async attempt(entry: UpstreamEntry): Promise<AttemptOutcome> {
    const { timers, upstreamHealth, dialect, decisionLines, forwardMetrics } = this.parts;
    const { context } = this;
    const { request, attributes, route, progress, writer, team, service } = context;
    const standing = upstreamHealth.of(entry.id);
    this.tried.add(entry.id);
    const started = timers.now();
    const sending = { sent: false };
    standing.inFlight += 1;
    try {
      const streamed = route.repeatability === Repeatability.Stream;
      const end = await UpstreamAttempt.create(
        { timers, dialect },
        {
          request,
          attemptId: attributes.attemptId,
          entry,
          dispatch: {
            upstream: entry.id,
            remainingMs: Math.max(1, Math.floor(context.deadlineMs - started)),
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
            sending.sent = true;
            this.scheduleInputsRead(entry);
          },
          onResponseHead: (attributes) => {
            recordAvailability(decisionLines, entry, standing, attributes);
          },
          onResponseStart: () => {
            this.onInputsRead();
          },
          signal: context.signal,
        },
      ).run();
      forwardMetrics.recordAttempt(service, end.kind);
      decisionLines.write("attempt", {
        attempt: attributes.attemptId,
        upstream: entry.id,
        service,
        leftMs: Math.round(context.deadlineMs - started),
        promptTokens: attributes.promptParts.reduce((sum, { tokens }) => sum + tokens, 0),
        ms: Math.round(timers.now() - started),
        end: end.kind,
        ...("status" in end ? { status: end.status } : {}),
        ...("detail" in end ? { detail: end.detail } : {}),
      });
      if (end.kind === "relayed") this.recordSuccess(entry, timers.now() - started);
      return end;
    } catch (error) {
      // The deadline passed or the caller disconnected while the upstream had the request.
      if (sending.sent) this.executed += 1;
      throw this.mayHaveRun ? ServeError.from(error, ErrorKind.Internal).afterDispatch() : error;
    } finally {
      standing.inFlight -= 1;
    }
  }

  /** Returns the status if the request is done, undefined to try again, or throws. */
  private handleOutcome(entry: UpstreamEntry, end: AttemptOutcome): number | undefined {
    const { upstreamHealth, crashRegistry, crashProbe, dialect } = this.parts;
    const { context } = this;
    const standing = upstreamHealth.of(entry.id);
    switch (end.kind) {
      case "relayed":
        return end.status;
      case "unsent":
        standing.recordUnreachable();
        this.unsentCount += 1;
        if (this.unsentCount < MAX_UNSENT) return undefined;
        throw this.createError(ErrorKind.NoUpstream, end.detail);
      case "not-run":
        this.notRunCount += 1;
        if (this.notRunCount < MAX_NOT_RUN) return undefined;
        throw this.createError(ErrorKind.Overloaded, `upstreams refused with status ${end.status}`);
      case "inputs-gone":
        throw ServeError.create(ErrorKind.InputsGone, "results were released or have expired");
      case "reported":
        standing.recordFailure();
        this.executed += 1;
        if (this.canRetry()) return undefined;
        context.writer.send(end.status, dialect.callerHeaders(end.headers), end.body);
        return end.status;
      case "broken":
        standing.recordFailure();
        this.executed += 1;
        void crashProbe.hasCrashed(entry).then((crashed) => {
          if (crashed) crashRegistry.recordCrash(context.digest, context.service, entry.id);
        });
        if (this.canRetry()) return undefined;
        throw this.createError(ErrorKind.UpstreamFailed, end.detail);
    }
  }

  /** An engine with free slots reads the results as soon as the request arrives. */
  private scheduleInputsRead(entry: UpstreamEntry): void {
    const { timers, upstreamHealth, directory, retryBudget } = this.parts;
    if (this.inputs === undefined || this.inputs.length === 0) return;
    // A request that may run again would need the results again.
    if (isRepeatable(this.context.route)) return;
    const utilization = upstreamHealth.of(entry.id).inFlight / Math.max(1, entry.slots);
    if (
      utilization * retryBudget.instanceCount > MAX_UTILIZATION ||
      directory.remainingWarmupMs(entry.id) > 0
    )
      return;
    timers.after(READ_DELAY_MS, () => {
      this.onInputsRead();
    });
  }

  private canRetry(): boolean {
    const { route, writer, progress } = this.context;
    if (!isRepeatable(route) || this.executed >= route.maxAttempts) return false;
    // An answer that has begun can go on only from an event that the next upstream can name.
    return !writer.started || progress.events === 0 || progress.lastEventId !== undefined;
  }

  private silenceTimeoutMs(): number | undefined {
    const { route, targetMs, request } = this.context;
    if (!isRepeatable(route) || this.executed + 1 >= route.maxAttempts) return undefined;
    return silenceTimeoutMs(route, targetMs - request.arrivedMs);
  }

  private recordSuccess(entry: UpstreamEntry, tookMs: number): void {
    const standing = this.parts.upstreamHealth.of(entry.id);
    const { events, firstEventMs, lastEventMs } = this.context.progress;
    if (this.context.route.repeatability !== Repeatability.Stream) {
      standing.recordSuccess(tookMs / EXPECTED_PLAIN_MS);
    } else if (events >= MIN_PACE_EVENTS && firstEventMs !== undefined && this.executed === 0) {
      const paceMs = ((lastEventMs ?? firstEventMs) - firstEventMs) / (events - 1);
      standing.recordSuccess(paceMs / EXPECTED_EVENT_MS);
    }
  }

  private createError(kind: ErrorKind, detail: string): ServeError {
    return ServeError.create(kind, detail, {
      outcome: this.mayHaveRun ? Outcome.MayHaveRun : Outcome.NotRun,
      ...this.parts.upstreamSelector.retryAfter(this.context.service),
    });
  }
}
