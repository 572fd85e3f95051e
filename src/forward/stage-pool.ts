import { type PathWait, refusalDelayMs } from "../congestion/refusal-delay.js";
import { CallDelays } from "./call-delays.js";
import { PieceFailure, type PieceResult } from "./piece-result.js";
import type { QueuedPiece } from "./queued-submission.js";
import { RunningCalls } from "./running-calls.js";
import type { StageCapacity } from "./service-definition.js";
import { StageWaitForecast } from "./stage-wait-forecast.js";
import type { StageTicket } from "./stage-outcome.js";
import { type CallTarget, StageQueue } from "./stage-queue.js";
import { effectiveUpstreams, queueThroughput } from "./effective-upstreams.js";
import { expectedCallMs, fullCallMs } from "./stage-timing.js";
import { type StageSubmission, submissionKey } from "./stage-submission.js";
import { type StageWaits, TRACKED_RANKS, waitMsForRank } from "./stage-wait.js";
import type { StagePoolParts } from "./stage-pool-parts.js";
import { splitDegraded } from "./degraded-upstreams.js";
import { SubmissionRegistry } from "./submission-registry.js";
import type { UpstreamEntry } from "./upstream-entry.js";

/** Interval at which a queue is retried while upstreams are busy; a fraction of a call. */
const BUSY_RETRY_MS = 60;
/** Pause of calls to an upstream that reported that its result memory is full. */
const MEMORY_FULL_PAUSE_MS = 150;
/** Most pieces in a probe of an upstream that is probably slow or failing. */
const MAX_PROBE_PIECES = 2;

/** Batches the pieces of all instances into calls to the upstreams of one stage service. */
export class StagePool {
  private readonly queue = StageQueue.create();
  private readonly calls: RunningCalls;
  private readonly forecast: StageWaitForecast;
  private readonly registry: SubmissionRegistry;
  private readonly delays: CallDelays;
  private fillScheduled = false;
  private readonly refill = (): void => {
    this.fillCalls();
  };

  private constructor(private readonly parts: StagePoolParts) {
    this.registry = SubmissionRegistry.create(parts.timers, {
      onEnded: parts.onEnded,
      onUnusedResults: (handles) => {
        this.release(handles);
      },
    });
    this.calls = RunningCalls.create(parts.timers);
    this.delays = CallDelays.create(parts.timers);
    this.forecast = StageWaitForecast.create(parts.timers);
  }

  static create(parts: StagePoolParts): StagePool {
    return new StagePool(parts);
  }

  /** Queues a submission unless it would be late; a repeated one gets its outcome again. */
  submit(submission: StageSubmission, pathWaitMs: PathWait = (ownMs) => ownMs): StageTicket {
    const capacity = this.parts.capacity();
    const upstreams = this.parts.upstreams().length;
    if (capacity === undefined || upstreams === 0) {
      return { kind: "refused", retryAfterMs: capacity?.baseCallMs ?? 0 };
    }
    const key = submissionKey(submission);
    const waits = this.waits(capacity);
    const { rank, resultBytes, pieces } = submission;
    const waitMs = waitMsForRank(waits, rank, resultBytes);
    const expectedMs = waitMs + expectedCallMs(capacity, pieces);
    const known = this.registry.find(key);
    if (known !== undefined) {
      if (known.outcome !== undefined) this.parts.onEnded(submission, known.outcome);
      return { kind: "accepted", expectedMs, waits };
    }
    const times = { resultsMs: expectedMs, pathWaitMs: pathWaitMs(waitMs) };
    const retryAfterMs = refusalDelayMs(submission, times);
    if (retryAfterMs !== undefined) return { kind: "refused", retryAfterMs, waits };
    this.forecast.recordArrival(rank, pieces);
    const queued = this.registry.add(submission);
    this.queue.add(queued.handles.map((_, piece) => ({ parent: queued, piece })));
    this.fillCalls();
    return { kind: "accepted", expectedMs, waits };
  }

  /** Cancels a submission and releases its results if it has not ended. */
  cancel(key: string): void {
    this.registry.cancel(key);
  }

  /** Ends the submissions that have not started, so that their submitters choose another owner. */
  handOver(): void {
    for (const parent of this.queue.unstartedSubmissions) this.registry.endAsMoved(parent);
  }

  /** Releases results at their upstreams. */
  release(handles: readonly string[]): void {
    this.parts.stageCaller.release(handles, (handle) => {
      this.parts.memory.release(handle);
      this.fillCalls();
    });
  }

  private waits(capacity: StageCapacity): StageWaits {
    const { upstreamHealth, upstreams } = this.parts;
    const reachable = upstreamHealth.reachable(upstreams());
    return this.forecast.waits({
      capacity,
      upstreams: effectiveUpstreams(reachable, upstreamHealth, capacity),
      callTimeRatio: upstreamHealth.medianLatencyRatio(reachable),
      allBusy: this.calls.busyUpstreams >= reachable.length,
      workByRank: this.queue.workByRank(TRACKED_RANKS),
    });
  }

  /**
   * Starts a call at each idle upstream for which pieces wait. While all are busy, only the retry
   * timer processes the queue: sorting a long queue for each submission is too slow in an overload.
   */
  private fillCalls(retryDue = false): void {
    const { timers, upstreamHealth } = this.parts;
    const capacity = this.parts.capacity();
    if (capacity === undefined || this.queue.size === 0) return;
    const { maxPieces, baseCallMs } = capacity;
    const reachable = upstreamHealth.reachable(this.parts.upstreams());
    if (!retryDue && !reachable.some((entry) => this.isFree(entry, capacity))) {
      this.scheduleFill(capacity);
      return;
    }
    const throughput = queueThroughput(reachable, upstreamHealth, capacity);
    const expired = this.queue.removeExpired(timers.now(), throughput);
    for (const parent of expired) this.registry.fail(parent, PieceFailure.Late);
    if (this.queue.size === 0) return;
    const split = { entries: reachable, upstreamHealth, mostPieces: maxPieces };
    const { degraded, healthy } = splitDegraded({ ...split, waiting: this.queue.size });
    const dataCentres = new Set(healthy.map(({ dataCentre }) => dataCentre));
    const fullMs = fullCallMs(capacity);
    const limits = { maxPieces, baseCallMs, fullMs, probe: false, dataCentres };
    for (const entry of healthy) this.fillCall(entry, capacity, limits);
    for (const entry of degraded) {
      // The next free upstream finishes the last waiting pieces sooner than a slow one.
      if (this.queue.size <= maxPieces || !upstreamHealth.of(entry.id).tryClaimProbe()) continue;
      this.fillCall(entry, capacity, { ...limits, maxPieces: MAX_PROBE_PIECES, probe: true });
    }
    if (this.queue.size > 0) this.scheduleFill(capacity);
  }

  private fillCall(
    entry: UpstreamEntry,
    capacity: StageCapacity,
    limits: Omit<CallTarget, "dataCentre" | "resultBytes">,
  ): void {
    if (this.queue.size === 0 || !this.isFree(entry, capacity)) return;
    const resultBytes = this.parts.memory.of(entry.id).freeBytes(capacity.resultBytes);
    const target = { ...limits, dataCentre: entry.dataCentre, resultBytes };
    const pieces = this.queue.takeBatch(target, this.parts.timers.now());
    if (this.delays.shouldDelay(entry.id, { pieces, waiting: this.queue.size, target })) {
      this.queue.add(pieces);
    } else if (pieces.length > 0) void this.call(entry, pieces, capacity);
  }

  /** Whether the upstream can accept a call; requests a permit for it if it states a limit. */
  private isFree(entry: UpstreamEntry, { maxCalls }: StageCapacity): boolean {
    if (!this.calls.canAccept(entry.id, maxCalls)) return false;
    return this.parts.heldPermits.isReady(entry, () => this.queue.mostUrgentRank, this.refill);
  }

  private scheduleFill(capacity: StageCapacity): void {
    if (this.fillScheduled) return;
    this.fillScheduled = true;
    const expiryMs = this.queue.nextAffinityExpiryMs(this.parts.timers.now(), fullCallMs(capacity));
    this.parts.timers.after(Math.min(BUSY_RETRY_MS, (expiryMs ?? BUSY_RETRY_MS) + 1), () => {
      this.fillScheduled = false;
      this.fillCalls(true);
    });
  }

  private async call(
    entry: UpstreamEntry,
    pieces: readonly QueuedPiece[],
    capacity: StageCapacity,
  ): Promise<void> {
    const { timers, stageCaller } = this.parts;
    for (const { parent } of pieces) parent.started = true;
    const latencyRatio = this.parts.upstreamHealth.of(entry.id).latencyRatio ?? 1;
    const expectedMs = latencyRatio * expectedCallMs(capacity, pieces.length);
    const endCall = this.calls.begin(entry.id, capacity.maxCalls, expectedMs, this.refill);
    const bytes = pieces.reduce((sum, { parent }) => sum + parent.submission.resultBytes, 0);
    const endReservation = this.parts.memory.of(entry.id).reserve(bytes);
    try {
      const permit = this.parts.heldPermits.take(entry);
      const outcome = await stageCaller.call(entry, pieces, capacity, permit);
      switch (outcome.kind) {
        case "results":
          pieces.forEach((piece, index) => {
            const result = outcome.results[index];
            if (result !== undefined) this.recordResult(entry, piece, result, capacity);
          });
          break;
        case "refused":
          // The upstream did not run the call, perhaps because it runs calls of another instance.
          this.queue.add(pieces.filter(({ parent }) => !parent.ended));
          await timers.sleep(BUSY_RETRY_MS);
          break;
        case "lost":
          this.retry(pieces);
          break;
      }
    } finally {
      endReservation();
      endCall();
      this.fillCalls();
    }
  }

  private recordResult(
    entry: UpstreamEntry,
    piece: QueuedPiece,
    result: PieceResult,
    capacity: StageCapacity,
  ): void {
    const { parent } = piece;
    if (result.kind === "made") {
      this.parts.memory
        .of(entry.id)
        .add(result.handle, parent.submission.resultBytes, capacity.ttlMs);
      if (parent.ended) this.release([result.handle]);
      else this.registry.recordResult(piece, result.handle, entry.dataCentre);
      return;
    }
    switch (result.reason) {
      case PieceFailure.Late:
      case PieceFailure.InputGone:
        this.registry.fail(parent, result.reason);
        return;
      case PieceFailure.NoRoom:
        this.parts.memory.of(entry.id).markFull(MEMORY_FULL_PAUSE_MS);
        if (!parent.ended) this.queue.add([piece]);
        return;
      case PieceFailure.Failed:
        this.retry([piece]);
    }
  }

  /** Requeues the pieces of a failed call within the retry budget and the limit of failed calls. */
  private retry(pieces: readonly QueuedPiece[]): void {
    for (const parent of new Set(pieces.map((piece) => piece.parent))) {
      if (parent.ended) continue;
      if (this.registry.countFailedCall(parent) || !this.parts.tryTakeRetry()) {
        this.registry.fail(parent, PieceFailure.Failed);
      } else this.queue.add(pieces.filter((piece) => piece.parent === parent));
    }
  }
}
