import { ErrorKind } from "../error/error-kind.js";
import { Outcome } from "../error/outcome.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import type { AttemptEnd } from "./attempt-end.js";
import type { CrashProbe } from "./crash-probe.js";
import type { CrashRegister } from "./crash-register.js";
import type { DecisionLines } from "./decision-lines.js";
import type { Dialect } from "./dialect.js";
import type { FleetBudget } from "./fleet-budget.js";
import type { ForwardMetrics } from "./forward-metrics.js";
import type { RequestContext } from "./request-context.js";
import { quietTimeOf } from "./quiet-time.js";
import { Repeatability } from "./repeatability.js";
import { isRepeatable } from "./route.js";
import { UpstreamAttempt } from "./upstream-attempt.js";
import type { UpstreamChoice } from "./upstream-choice.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamStandings } from "./upstream-standings.js";
import { noteWord } from "./upstream-word.js";

/** Upstreams that may state, one after the other, that they did not run a request. */
const MOST_NOT_RUN = 3;
/** Failed connections, each to another upstream, after which a request is given up. */
const MOST_UNSENT = 4;
/** Work of an average request at a plain service, in ms; only ratios between upstreams matter. */
const PLAIN_EXPECTED_MS = 45;
/** Events from which the pace of a stream says something about its engine. */
const LEAST_PACED_EVENTS = 4;
/** Typical time between events in ms; only ratios between engines matter. */
const EVENT_EXPECTED_MS = 20;
const MOST_URGENCY = 9;
/** Time after which an engine with free slots has read the results; several transfers. */
const READ_MS = 120;
/** Part of an engine's slots in use up to which it admits a request at once. */
const MOST_FILLED = 0.5;

interface Parts {
  readonly timers: Timers;
  readonly dialect: Dialect;
  readonly directory: UpstreamDirectory;
  readonly standings: UpstreamStandings;
  readonly upstreamChoice: UpstreamChoice;
  readonly fleetBudget: FleetBudget;
  readonly crashRegister: CrashRegister;
  readonly crashProbe: CrashProbe;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: ForwardMetrics;
}

/** Sends a request to upstreams until one has answered it or it may not be sent again. */
export class DispatchLoop {
  private readonly tried = new Set<string>();
  private notRun = 0;
  private unsent = 0;
  private ran = 0;

  private constructor(
    private readonly parts: Parts,
    private readonly context: RequestContext,
    private readonly inputs: readonly string[] | undefined,
    private readonly inputsRead: () => void,
  ) {}

  /**
   * `inputs` are handles of results; `inputsRead` is called when an engine has read the
   * results.
   */
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
    return this.ran > 0;
  }

  /** Returns the status that was passed on; throws `ServeError` if nothing more can be tried. */
  async run(): Promise<number> {
    const { fleetBudget, upstreamChoice } = this.parts;
    const { service, attributes } = this.context;
    fleetBudget.request(service);
    for (;;) {
      const entry = upstreamChoice.choose(service, attributes.promptParts, this.tried);
      if (entry === undefined) throw this.failure(ErrorKind.NoUpstream, "no upstream is left");
      const end = await this.attempt(entry);
      const status = this.judge(entry, end);
      if (status !== undefined) return status;
      const sent = end.kind !== "unsent";
      if (sent && !fleetBudget.takeFurther(service)) {
        throw this.failure(ErrorKind.UpstreamFailed, "the budget for further attempts is spent");
      }
    }
  }

  private async attempt(entry: UpstreamEntry): Promise<AttemptEnd> {
    const { timers, standings, dialect, decisionLines, forwardMetrics } = this.parts;
    const { context } = this;
    const { request, attributes, route, progress, writer, team, service } = context;
    const standing = standings.of(entry.id);
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
            leftMs: Math.max(1, Math.floor(context.deadlineMs - started)),
            team: team?.name,
            inputs: this.inputs,
            lastEventId: progress.lastEventId,
            urgency: streamed ? Math.min(MOST_URGENCY, context.rank) : undefined,
          },
          writer,
          progress,
          streamed,
          quietMs: this.quietMs(),
          sent: () => {
            sending.sent = true;
            this.expectRead(entry);
          },
          told: (attributes) => {
            noteWord(decisionLines, entry, standing, attributes);
          },
          answering: () => {
            this.inputsRead();
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
      if (end.kind === "relayed") this.noteSuccess(entry, timers.now() - started);
      return end;
    } catch (error) {
      // The time limit passed, or the caller left, while the upstream had the request.
      if (sending.sent) this.ran += 1;
      throw this.mayHaveRun ? ServeError.from(error, ErrorKind.Internal).afterDispatch() : error;
    } finally {
      standing.inFlight -= 1;
    }
  }

  /** Returns the status if the request is done, undefined to try again, or throws. */
  private judge(entry: UpstreamEntry, end: AttemptEnd): number | undefined {
    const { standings, crashRegister, crashProbe, dialect } = this.parts;
    const { context } = this;
    const standing = standings.of(entry.id);
    switch (end.kind) {
      case "relayed":
        return end.status;
      case "unsent":
        standing.unreachable();
        this.unsent += 1;
        if (this.unsent < MOST_UNSENT) return undefined;
        throw this.failure(ErrorKind.NoUpstream, end.detail);
      case "not-run":
        this.notRun += 1;
        if (this.notRun < MOST_NOT_RUN) return undefined;
        throw this.failure(ErrorKind.Overloaded, `upstreams refused with status ${end.status}`);
      case "inputs-gone":
        throw ServeError.create(ErrorKind.InputsGone, "results were released or have expired");
      case "reported":
        standing.failed();
        this.ran += 1;
        if (this.mayRunAgain()) return undefined;
        context.writer.send(end.status, dialect.callerHeaders(end.headers), end.body);
        return end.status;
      case "broken":
        standing.failed();
        this.ran += 1;
        void crashProbe.crashed(entry).then((crashed) => {
          if (crashed) crashRegister.crashed(context.digest, context.service, entry.id);
        });
        if (this.mayRunAgain()) return undefined;
        throw this.failure(ErrorKind.UpstreamFailed, end.detail);
    }
  }

  /** An engine with free slots reads the results as soon as the request arrives. */
  private expectRead(entry: UpstreamEntry): void {
    const { timers, standings, directory, fleetBudget } = this.parts;
    if (this.inputs === undefined || this.inputs.length === 0) return;
    // A request that may run again would need the results again.
    if (isRepeatable(this.context.route)) return;
    const filled = standings.of(entry.id).inFlight / Math.max(1, entry.slots);
    if (filled * fleetBudget.instances > MOST_FILLED || directory.coldMs(entry.id) > 0) return;
    timers.after(READ_MS, () => {
      this.inputsRead();
    });
  }

  private mayRunAgain(): boolean {
    const { route, writer, progress } = this.context;
    if (!isRepeatable(route) || this.ran >= route.maxAttempts) return false;
    // An answer that has begun can go on only from an event that the next upstream can name.
    return !writer.begun || progress.events === 0 || progress.lastEventId !== undefined;
  }

  private quietMs(): number | undefined {
    const { route, targetMs, request } = this.context;
    if (!isRepeatable(route) || this.ran + 1 >= route.maxAttempts) return undefined;
    return quietTimeOf(route, targetMs - request.arrivedMs);
  }

  private noteSuccess(entry: UpstreamEntry, tookMs: number): void {
    const standing = this.parts.standings.of(entry.id);
    const { events, firstEventMs, lastEventMs } = this.context.progress;
    if (this.context.route.repeatability !== Repeatability.Stream) {
      standing.succeeded(tookMs / PLAIN_EXPECTED_MS);
    } else if (events >= LEAST_PACED_EVENTS && firstEventMs !== undefined && this.ran === 0) {
      const paceMs = ((lastEventMs ?? firstEventMs) - firstEventMs) / (events - 1);
      standing.succeeded(paceMs / EVENT_EXPECTED_MS);
    }
  }

  private failure(kind: ErrorKind, detail: string): ServeError {
    return ServeError.create(kind, detail, {
      outcome: this.mayHaveRun ? Outcome.MayHaveRun : Outcome.NotRun,
      ...this.parts.upstreamChoice.returnAfter(this.context.service),
    });
  }
}
