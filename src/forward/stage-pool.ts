import { CallHolds } from "./call-holds.js";
import { PieceFailure, type PieceResult } from "./piece-result.js";
import type { QueuedPiece } from "./queued-submission.js";
import { ResultRooms } from "./result-rooms.js";
import { RunningCalls } from "./running-calls.js";
import type { StageCapacity } from "./service-definition.js";
import { StageForecast } from "./stage-forecast.js";
import type { StageTicket } from "./stage-outcome.js";
import { type CallRoom, StageQueue } from "./stage-queue.js";
import { callMsOf, fullCallMs, piecesPerMs } from "./stage-pace.js";
import { type StageSubmission, submissionKey } from "./stage-submission.js";
import { type StageWaits, WAIT_RANKS, waitOf } from "./stage-wait.js";
import type { StagePoolParts } from "./stage-pool-parts.js";
import { splitDegraded } from "./degraded-upstreams.js";
import { SubmissionBook } from "./submission-book.js";
import type { UpstreamEntry } from "./upstream-entry.js";

/** Time after which an upstream that refused a call is tried again; a fraction of a call. */
const BUSY_RETRY_MS = 60;
/** Time for which an upstream that has no room for results gets no call. */
const NO_ROOM_MS = 150;
/** Pieces of a call to an upstream that is probably slow or failing. */
const PROBE_PIECES = 2;

/** Fills the calls to the upstreams of one stage service with the pieces of all instances. */
export class StagePool {
  private readonly queue = StageQueue.create();
  private readonly rooms: ResultRooms;
  private readonly running: RunningCalls;
  private readonly forecast: StageForecast;
  private readonly book: SubmissionBook;
  private readonly holds: CallHolds;
  private wakeDue = false;

  private constructor(private readonly parts: StagePoolParts) {
    this.book = SubmissionBook.create(parts.timers, {
      ended: parts.ended,
      unused: (handles) => {
        this.release(handles);
      },
    });
    this.rooms = ResultRooms.create(parts.timers);
    this.running = RunningCalls.create(parts.timers);
    this.holds = CallHolds.create(parts.timers);
    this.forecast = StageForecast.create(parts.timers);
  }

  static create(parts: StagePoolParts): StagePool {
    return new StagePool(parts);
  }

  /** Queues a submission unless its deadline cannot be met; a repeated one is only reported again. */
  submit(submission: StageSubmission): StageTicket {
    const capacity = this.parts.capacity();
    const upstreams = this.parts.upstreams().length;
    if (capacity === undefined || upstreams === 0) {
      return { kind: "refused", retryAfterMs: capacity?.callMs ?? 0 };
    }
    const key = submissionKey(submission);
    const waits = this.waits(capacity);
    const { rank, resultBytes, pieces } = submission;
    const ownMs = callMsOf(capacity, pieces);
    const expectedMs = waitOf(waits, rank, resultBytes) + ownMs;
    const known = this.book.find(key);
    if (known !== undefined) {
      if (known.outcome !== undefined) this.parts.ended(submission, known.outcome);
      return { kind: "accepted", expectedMs, waits };
    }
    if (expectedMs + submission.afterMs > submission.leftMs) {
      return { kind: "refused", retryAfterMs: expectedMs, waits };
    }
    this.forecast.arrived(rank, pieces);
    const queued = this.book.open(submission);
    this.queue.add(queued.handles.map((_, piece) => ({ owner: queued, piece })));
    this.fill();
    return { kind: "accepted", expectedMs, waits };
  }

  /** Drops a submission; results that were made for it are released. */
  cancel(key: string): void {
    this.book.cancel(key);
  }

  /** Gives up the submissions of which nothing has begun, for another instance. */
  handOver(): void {
    for (const owner of this.queue.untouched) this.book.move(owner);
  }

  /** Frees the memory of results. */
  release(handles: readonly string[]): void {
    this.parts.stageCaller.release(handles, (handle) => {
      this.rooms.release(handle);
      this.fill();
    });
  }

  private waits(capacity: StageCapacity): StageWaits {
    const { upstreamHealth, upstreams } = this.parts;
    const reachable = upstreamHealth.reachable(upstreams());
    return this.forecast.waits({
      capacity,
      upstreams: Math.max(1, reachable.length),
      ratio: upstreamHealth.medianLatencyRatio(reachable),
      allBusy: this.running.busy >= reachable.length,
      ahead: this.queue.ahead(WAIT_RANKS),
    });
  }

  /**
   * Starts a call at each idle upstream for which pieces wait. While all are busy the queue is only
   * looked at when `wakeLater` comes due: in a flood it is long, and each submission would sort it.
   */
  private fill(due = false): void {
    const { timers, upstreamHealth } = this.parts;
    const capacity = this.parts.capacity();
    if (capacity === undefined || this.queue.size === 0) return;
    const { mostPieces, callMs } = capacity;
    const reachable = upstreamHealth.reachable(this.parts.upstreams());
    const isFree = ({ id }: UpstreamEntry): boolean =>
      this.running.isFree(id, capacity.callsAtOnce);
    if (!due && !reachable.some(isFree)) {
      this.wakeLater(capacity);
      return;
    }
    const slowness = Math.max(1, upstreamHealth.medianLatencyRatio(reachable));
    const late = this.queue.expire(timers.now(), {
      callMs,
      // Upstreams that cannot be reached for a moment will work again.
      piecesPerMs: piecesPerMs(capacity, Math.max(1, reachable.length)) / slowness,
    });
    for (const owner of late) this.book.fail(owner, PieceFailure.Late);
    if (this.queue.size === 0) return;
    const split = { entries: reachable, upstreamHealth, mostPieces, waiting: this.queue.size };
    const { degraded, healthy } = splitDegraded(split);
    const dataCentres = new Set(healthy.map(({ dataCentre }) => dataCentre));
    const fullMs = fullCallMs(capacity);
    const room = { mostPieces, callMs, fullMs, probe: false, dataCentres };
    for (const entry of healthy) this.fillCall(entry, capacity, room);
    for (const entry of degraded) {
      // A few waiting pieces are done sooner by the next upstream that becomes free.
      if (this.queue.size <= mostPieces || !upstreamHealth.of(entry.id).tryClaimProbe()) continue;
      this.fillCall(entry, capacity, { ...room, mostPieces: PROBE_PIECES, probe: true });
    }
    if (this.queue.size > 0) this.wakeLater(capacity);
  }

  private fillCall(
    entry: UpstreamEntry,
    capacity: StageCapacity,
    room: Omit<CallRoom, "dataCentre" | "resultBytes">,
  ): void {
    if (this.queue.size === 0 || !this.running.isFree(entry.id, capacity.callsAtOnce)) return;
    const resultBytes = this.rooms.of(entry.id).free(capacity.resultBytes);
    const callRoom = { ...room, dataCentre: entry.dataCentre, resultBytes };
    const pieces = this.queue.take(callRoom, this.parts.timers.now());
    if (this.holds.holds(entry.id, { pieces, waiting: this.queue.size, room: callRoom })) {
      this.queue.add(pieces);
    } else if (pieces.length > 0) void this.call(entry, pieces, capacity);
  }

  private wakeLater(capacity: StageCapacity): void {
    if (this.wakeDue) return;
    this.wakeDue = true;
    const patience = this.queue.nextPatienceEnd(this.parts.timers.now(), fullCallMs(capacity));
    this.parts.timers.after(Math.min(BUSY_RETRY_MS, (patience ?? BUSY_RETRY_MS) + 1), () => {
      this.wakeDue = false;
      this.fill(true);
    });
  }

  private async call(
    entry: UpstreamEntry,
    pieces: readonly QueuedPiece[],
    capacity: StageCapacity,
  ): Promise<void> {
    const { timers, stageCaller } = this.parts;
    for (const { owner } of pieces) owner.begun = true;
    const ratio = this.parts.upstreamHealth.of(entry.id).latencyRatio ?? 1;
    const expectedMs = ratio * callMsOf(capacity, pieces.length);
    const endRunning = this.running.begin(entry.id, capacity.callsAtOnce, expectedMs, () => {
      this.fill();
    });
    const bytes = pieces.reduce((sum, { owner }) => sum + owner.submission.resultBytes, 0);
    const endReservation = this.rooms.of(entry.id).reserve(bytes);
    try {
      const answer = await stageCaller.call(entry, pieces, capacity);
      switch (answer.kind) {
        case "results":
          pieces.forEach((piece, at) => {
            const result = answer.results[at];
            if (result !== undefined) this.take(entry, piece, result, capacity);
          });
          break;
        case "refused":
          // The upstream did not run the call; another instance may have filled its queue.
          this.queue.add(pieces.filter(({ owner }) => !owner.ended));
          await timers.sleep(BUSY_RETRY_MS);
          break;
        case "lost":
          this.again(pieces);
          break;
      }
    } finally {
      endReservation();
      endRunning();
      this.fill();
    }
  }

  private take(
    entry: UpstreamEntry,
    piece: QueuedPiece,
    result: PieceResult,
    capacity: StageCapacity,
  ): void {
    const { owner } = piece;
    if (result.kind === "made") {
      this.rooms.of(entry.id).keep(result.handle, owner.submission.resultBytes, capacity.keptMs);
      if (owner.ended) this.release([result.handle]);
      else this.book.made(piece, result.handle, entry.dataCentre);
      return;
    }
    switch (result.reason) {
      case PieceFailure.Late:
      case PieceFailure.InputGone:
        this.book.fail(owner, result.reason);
        return;
      case PieceFailure.NoRoom:
        this.rooms.of(entry.id).full(NO_ROOM_MS);
        if (!owner.ended) this.queue.add([piece]);
        return;
      case PieceFailure.Failed:
        this.again([piece]);
    }
  }

  /** Queues pieces of a failed call once more where the budget and their submission allow it. */
  private again(pieces: readonly QueuedPiece[]): void {
    for (const owner of new Set(pieces.map((piece) => piece.owner))) {
      if (owner.ended) continue;
      if (this.book.noteFailure(owner) || !this.parts.takeFurther()) {
        this.book.fail(owner, PieceFailure.Failed);
      } else this.queue.add(pieces.filter((piece) => piece.owner === owner));
    }
  }
}
