import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { requireServedStages } from "../evacuation/require-served-stages.js";
import type { Timers } from "../time/timers.js";
import type { ResponseWriter } from "./response-writer.js";
import { CrashRegistry } from "./crash-registry.js";
import type { DecisionLines } from "./decision-lines.js";
import type { Dialect } from "./dialect.js";
import { DispatchLoop } from "./dispatch-loop.js";
import type { ForwardMetrics } from "./forward-metrics.js";
import type { RefusalWriter } from "./refusal-writer.js";
import { RequestCancellation } from "../intake/request-cancellation.js";
import type { RequestContext } from "./request-context.js";
import type { BodyRead, RequestHead } from "../intake/request-head.js";
import type { Route } from "./route.js";
import type { RequestMatcher } from "./request-matcher.js";
import type { RouteView } from "./route-view.js";
import { admitStages } from "./stage-admission.js";
import type { StageLoads } from "./stage-loads.js";
import { StagePhase } from "./stage-phase.js";
import type { RequestRelay } from "../isolation/request-relay.js";
import type { StreamVersion } from "../version/stream-version.js";
import type { StreamVersions } from "../version/stream-versions.js";
import { isUnreached } from "../isolation/unreached.js";
import { hasRoom } from "../version/upstream-room.js";
import type { UpstreamSelector } from "./upstream-selector.js";

type LoopParts = Parameters<typeof DispatchLoop.create>[0];
type PhaseParts = Parameters<typeof StagePhase.create>[0];

interface Parts extends LoopParts, PhaseParts {
  readonly timers: Timers;
  readonly dialect: Dialect;
  readonly routeView: RouteView;
  readonly upstreamSelector: UpstreamSelector;
  readonly crashRegistry: CrashRegistry;
  readonly stageLoads: StageLoads;
  readonly streamVersions: StreamVersions;
  readonly requestRelay: RequestRelay;
  readonly requestMatcher: RequestMatcher;
  readonly refusalWriter: RefusalWriter;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: ForwardMetrics;
  /** Throws if this instance accepts no new requests. */
  readonly admit: () => void;
}

/** Serves requests of callers from arrival to response. */
export class RequestForwarder {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): RequestForwarder {
    return new RequestForwarder(parts);
  }

  /**
   * Responds or closes the connection; rejects if a relayed request reaches no upstream here. The
   * body is read only if the head is accepted.
   */
  async serve(head: RequestHead, readBody: BodyRead, writer: ResponseWriter): Promise<void> {
    const { timers, requestMatcher, requestRelay } = this.parts;
    const cancellation = RequestCancellation.create(timers, head.signal);
    const { signal } = cancellation;
    let context: RequestContext | undefined;
    try {
      this.parts.admit();
      const headMatch = requestMatcher.matchHead(head);
      cancellation.setDeadline(headMatch.deadlineMs);
      const { configuration, team } = headMatch;
      writer.owner = team?.name ?? "";
      const body = await readBody(configuration.limits.bodyBytes, signal, writer.owner);
      // A stop may have begun meanwhile, which waits for requests that have arrived whole only.
      this.parts.admit();
      const matched = requestMatcher.match({ ...head, body }, headMatch, writer, signal);
      context = matched;
      cancellation.setDeadline(matched.deadlineMs);
      const status = await requestRelay.serve(matched, () => this.forward(matched));
      this.recordCompletion(head, context, status, "served");
    } catch (error) {
      this.handleError(head, writer, context, ServeError.from(error, ErrorKind.Internal));
    } finally {
      cancellation.end();
    }
  }

  private async forward(context: RequestContext): Promise<number> {
    const { route, attributes, service } = context;
    const version = await this.parts.streamVersions.choose(context);
    if (route.stages.length === 0) {
      return DispatchLoop.create(this.parts, context, version, undefined, () => undefined).run();
    }
    const allowedMs = this.admitToStages(context);
    let stagePhase = this.createPhase(context, version, 0, allowedMs);
    try {
      const inputs = await stagePhase.run();
      return await this.dispatch(context, version, stagePhase, inputs);
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.Internal);
      if (failure.kind !== ErrorKind.InputsGone || !this.tryTakeRetries(route)) {
        // A refusal promises that nothing ran; this includes stage calls.
        throw stagePhase.begun ? failure.afterDispatch() : failure;
      }
      this.parts.decisionLines.write("stages run again", {
        attempt: attributes.attemptId,
        service,
        detail: failure.message,
      });
      stagePhase.release();
      stagePhase = this.createPhase(context, version, 1, allowedMs);
      try {
        return await this.dispatch(context, version, stagePhase, await stagePhase.run());
      } catch (retryError) {
        throw ServeError.from(retryError, ErrorKind.Internal).afterDispatch();
      }
    } finally {
      stagePhase.release();
    }
  }

  /**
   * Returns the maximum wait at the stages, in ms; throws `Overloaded` if they cannot take the
   * request before its latency target.
   */
  private admitToStages(context: RequestContext): number {
    this.requirePermitsInTime(context);
    requireServedStages(this.parts.directory, context.route.stages, context.attributes.pieces);
    const { route, attributes, configuration, rank, targetMs, returning } = context;
    const { stageLoads, timers, decisionLines } = this.parts;
    const { attemptId, pieces } = attributes;
    const admission = admitStages({
      stages: route.stages,
      pieces,
      services: configuration.services,
      waitMs: ({ service, resultBytes }) =>
        stageLoads.waitMs(service, attemptId, rank, resultBytes),
      targetLeftMs: targetMs - timers.now(),
    });
    if (admission.kind === "admitted") return admission.allowedMs;
    decisionLines.write("refused", { attempt: attemptId, rank, returning, ...admission });
    throw ServeError.create(ErrorKind.Overloaded, "the stages have no capacity before the target", {
      retryAfterMs: admission.retryAfterMs,
    });
  }

  /** Throws `Overloaded` if all engines state limits that leave no permit before the target. */
  private requirePermitsInTime(context: RequestContext): void {
    const { permittedSelection, timers } = this.parts;
    const waitMs = permittedSelection.expectedWaitMs(context);
    if (waitMs === 0 || waitMs <= context.targetMs - timers.now()) return;
    throw ServeError.create(
      ErrorKind.Overloaded,
      "all engines have reached the limits that they state",
      { retryAfterMs: waitMs },
    );
  }

  private async dispatch(
    context: RequestContext,
    version: StreamVersion,
    stagePhase: StagePhase,
    handles: readonly string[],
  ): Promise<number> {
    const onInputsRead = (): void => {
      stagePhase.release();
    };
    const inputs = { handles, dataCentre: stagePhase.engineDataCentre };
    return DispatchLoop.create(this.parts, context, version, inputs, onInputsRead).run();
  }

  private createPhase(
    context: RequestContext,
    version: StreamVersion,
    run: number,
    allowedMs: number,
  ): StagePhase {
    const { route, attributes, service, configuration } = context;
    const { upstreamSelector, upstreamHealth, directory } = this.parts;
    const otherVersions = version.excluded(directory.forService(service), (entry) =>
      hasRoom(entry, upstreamHealth.of(entry.id)),
    );
    const engine = upstreamSelector.select(service, attributes.promptParts, new Set(otherVersions));
    if (engine === undefined) {
      const errorContext = upstreamSelector.retryAfter(service);
      throw ServeError.create(ErrorKind.NoUpstream, "no engine accepts requests", errorContext);
    }
    return StagePhase.create(this.parts, {
      route,
      attributes,
      run,
      allowedMs,
      rank: context.rank,
      returning: context.returning,
      targetMs: context.targetMs,
      deadlineMs: context.deadlineMs,
      services: configuration.services,
      engineDataCentre: engine.dataCentre,
      signal: context.signal,
    });
  }

  /** Takes a retry from the budget of each service that a repeated stage phase calls. */
  private tryTakeRetries({ stages }: Route): boolean {
    return stages.every(({ service }) => this.parts.retryBudget.tryTakeRetry(service));
  }

  private handleError(
    head: RequestHead,
    writer: ResponseWriter,
    context: RequestContext | undefined,
    error: ServeError,
  ): void {
    if (error.kind === ErrorKind.Cancelled || writer.started) {
      writer.abort();
      this.recordCompletion(head, context, 0, error.kind, error.message);
      return;
    }
    const declined = head.relayed === true && isUnreached(error);
    const status = declined ? 0 : this.parts.refusalWriter.write(writer, error);
    this.recordCompletion(head, context, status, error.kind, error.message);
    if (declined) throw error;
  }

  private recordCompletion(
    head: RequestHead,
    context: RequestContext | undefined,
    status: number,
    outcome: string,
    detail?: string,
  ): void {
    const { timers, decisionLines, forwardMetrics, routeView } = this.parts;
    const ms = timers.now() - head.arrivedMs;
    const route = context?.route.name ?? "none";
    forwardMetrics.recordRequest(route, status, outcome, ms);
    const firstMs = context?.progress.firstEventMs;
    const pauseMs = Math.round(context?.progress.longestPauseMs ?? 0);
    if (firstMs !== undefined) forwardMetrics.recordFirstEvent(route, firstMs - head.arrivedMs);
    decisionLines.write("request", {
      attempt: context?.attributes.attemptId,
      route,
      team: context?.team?.name,
      rank: context?.rank,
      resumes: context?.attributes.resumes,
      version: routeView.version,
      status,
      outcome,
      ms: Math.round(ms),
      ...(firstMs === undefined ? {} : { firstMs: Math.round(firstMs - head.arrivedMs), pauseMs }),
      ...(detail === undefined ? {} : { detail }),
    });
  }
}
