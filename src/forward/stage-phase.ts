import { ErrorKind } from "../error/error-kind.js";
import { Outcome } from "../error/outcome.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { PieceFailure } from "./piece-result.js";
import type { RequestAttributes } from "./request-attributes.js";
import type { Route } from "./route.js";
import type { ServiceDefinition } from "./service-definition.js";
import type { StageDispatch } from "./stage-dispatch.js";
import type { FinalStageOutcome } from "./stage-outcome.js";
import type { StageSubmission } from "./stage-submission.js";
import { MIN_BULKY_RESULT_BYTES } from "./stage-wait.js";
import { finalStages } from "./stage-definition.js";

/** The results of one stage of a request. */
interface StageResults {
  readonly handles: readonly string[];
  readonly dataCentre: string | undefined;
}

interface Parts {
  readonly timers: Timers;
  readonly stageDispatch: StageDispatch;
}

interface Task {
  readonly route: Route;
  readonly attributes: RequestAttributes;
  /** Incremented when the stages of the request run again. */
  readonly run: number;
  /** Longest wait over all stages that is allowed, in ms. */
  readonly allowedMs: number;
  readonly rank: number;
  readonly returning: boolean;
  /** On the monotonic clock, in ms. */
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  /** Data centre of the engine that the request will probably be sent to. */
  readonly engineDataCentre: string | undefined;
  readonly signal: AbortSignal;
}

/** Runs the stages of one request, each as soon as its inputs are available. */
export class StagePhase {
  private readonly runs: Promise<StageResults>[] = [];
  /** Handles of results that are not released yet, by service. */
  private readonly retainedHandles = new Map<string, Set<string>>();
  private readonly failure = new AbortController();
  private possiblyRunSubmissions = 0;
  private firstSubmitted = false;
  private ended = false;

  private constructor(
    private readonly parts: Parts,
    private readonly task: Task,
  ) {}

  static create(parts: Parts, task: Task): StagePhase {
    return new StagePhase(parts, task);
  }

  /** Data centre that the results are made for. */
  get engineDataCentre(): string | undefined {
    return this.task.engineDataCentre;
  }

  /** Whether any piece of the request may have run. */
  get begun(): boolean {
    return this.possiblyRunSubmissions > 0;
  }

  /**
   * Returns the handles of the results that the engine needs.
   * Throws `Overloaded`, `DeadlineExceeded` or `UpstreamFailed`.
   */
  async run(): Promise<string[]> {
    const { route } = this.task;
    route.stages.forEach((_, index) => this.runs.push(this.runStage(index)));
    // The first failure aborts the other stages; all are awaited, so no rejection is unhandled.
    for (const run of this.runs) {
      run.catch((error: unknown) => {
        this.failure.abort(error);
      });
    }
    await Promise.allSettled(this.runs);
    if (this.failure.signal.aborted) throw this.failure.signal.reason;
    const results = await this.results(finalStages(route.stages));
    return results.flatMap(({ handles }) => handles);
  }

  /** Releases all remaining results once the engine has read them or the request has failed. */
  release(): void {
    this.ended = true;
    for (const [service, handles] of this.retainedHandles)
      this.releaseHandles(service, [...handles]);
  }

  private results(stages: readonly number[]): Promise<StageResults[]> {
    return Promise.all(stages.flatMap((index) => this.runs[index] ?? []));
  }

  private async runStage(index: number): Promise<StageResults> {
    const { route, attributes, targetMs, deadlineMs, rank } = this.task;
    const stage = route.stages[index];
    const pieces = attributes.pieces[index] ?? 0;
    // Waits until all stages are in `runs`, so that earlier ones can be awaited.
    await Promise.resolve();
    const needed = await this.results(stage?.after ?? []);
    await this.results(this.stagesToAwait(index));
    if (stage === undefined || pieces === 0) return { handles: [], dataCentre: undefined };
    const inputs = needed.flatMap(({ handles }) => handles);
    const dataCentre = stage.after.length > 0 ? needed[0]?.dataCentre : this.task.engineDataCentre;
    const now = this.parts.timers.now();
    const outcome = await this.dispatch({
      service: stage.service,
      attemptId: attributes.attemptId,
      stage: index,
      run: this.task.run,
      pieces,
      ...(stage.after.length > 0 ? { inputs } : { key: attributes.pieceKey }),
      rank,
      targetLeftMs: targetMs - now,
      leftMs: deadlineMs - now,
      afterMs: this.afterMs(index),
      first: this.task.run === 0 && !this.firstSubmitted,
      returning: this.task.returning,
      later: this.takeLaterPieces(index),
      allowedMs: this.task.allowedMs,
      resultBytes: stage.resultBytes,
      movedBytes: this.movedBytes(index),
      ...(dataCentre === undefined ? {} : { dataCentre }),
    });
    if (outcome.kind === "failed") {
      const late = outcome.reason === PieceFailure.Late;
      const kind = late ? ErrorKind.DeadlineExceeded : ErrorKind.UpstreamFailed;
      throw ServeError.create(kind, `stage ${index} failed: ${outcome.reason}`);
    }
    this.retain(stage.service, outcome.handles);
    // Inputs that only this stage needs are released; final results are kept for the engine.
    for (const each of stage.after) this.releaseIfUnneeded(each, await this.runs[each]);
    return { handles: outcome.handles, dataCentre: outcome.dataCentre };
  }

  /**
   * Stages that a final stage with large results waits for without needing their results: it starts
   * together with the other final stages, as its results would only occupy memory until those end.
   */
  private stagesToAwait(index: number): readonly number[] {
    const { stages } = this.task.route;
    const stage = stages[index];
    const finalIndexes = finalStages(stages);
    if (
      stage === undefined ||
      stage.resultBytes < MIN_BULKY_RESULT_BYTES ||
      !finalIndexes.includes(index)
    )
      return [];
    return finalIndexes
      .filter((each) => each !== index)
      .flatMap((each) => stages[each]?.after ?? []);
  }

  /** Bytes transferred between data centres for each piece that runs in another one. */
  private movedBytes(index: number): number {
    const { route, attributes } = this.task;
    const stage = route.stages[index];
    if (stage === undefined || stage.after.length === 0) return stage?.resultBytes ?? 0;
    return stage.after.reduce((sum, each) => {
      return sum + (attributes.pieces[each] ?? 0) * (route.stages[each]?.resultBytes ?? 0);
    }, 0);
  }

  private async dispatch(submission: StageSubmission): Promise<FinalStageOutcome> {
    const signal = AbortSignal.any([this.task.signal, this.failure.signal]);
    this.possiblyRunSubmissions += 1;
    try {
      const outcome = await this.parts.stageDispatch.run(submission, signal);
      if (outcome.kind === "failed" && !outcome.begun) this.possiblyRunSubmissions -= 1;
      return outcome;
    } catch (error) {
      // A refused submission has not run, unless an earlier owner did not answer.
      const refused = error instanceof ServeError && error.kind === ErrorKind.Overloaded;
      if (refused && error.outcome === Outcome.NotRun) this.possiblyRunSubmissions -= 1;
      throw error;
    }
  }

  private releaseIfUnneeded(index: number, results: StageResults | undefined): void {
    const { stages } = this.task.route;
    const dependants = stages.filter(({ after }) => after.includes(index)).length;
    const service = stages[index]?.service;
    if (dependants === 1 && service !== undefined && results !== undefined) {
      this.releaseHandles(service, results.handles);
    }
  }

  /** Pieces of all other stages in the first call; empty in later calls. */
  private takeLaterPieces(first: number): StageSubmission["later"] {
    if (this.firstSubmitted) return [];
    this.firstSubmitted = true;
    return this.task.route.stages.flatMap(({ service, resultBytes }, index) => {
      const pieces = this.task.attributes.pieces[index] ?? 0;
      return index === first || pieces === 0 ? [] : [{ service, pieces, resultBytes }];
    });
  }

  /** Minimum time that the stages after this one take, in ms. */
  private afterMs(index: number): number {
    const { route, services } = this.task;
    return route.stages.reduce((longest, { after, service }, later) => {
      if (!after.includes(index)) return longest;
      const baseCallMs = services.get(service)?.stage?.baseCallMs ?? 0;
      return Math.max(longest, baseCallMs + this.afterMs(later));
    }, 0);
  }

  private retain(service: string, handles: readonly string[]): void {
    const kept = this.retainedHandles.get(service) ?? new Set();
    this.retainedHandles.set(service, kept);
    for (const handle of handles) kept.add(handle);
    if (this.ended) this.releaseHandles(service, handles);
  }

  private releaseHandles(service: string, handles: readonly string[]): void {
    const kept = this.retainedHandles.get(service);
    const releasable = handles.filter((handle) => kept?.delete(handle) === true);
    this.parts.stageDispatch.release(service, this.task.attributes.attemptId, releasable);
  }
}
