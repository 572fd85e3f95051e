import type { Timers } from "../time/timers.js";
import { PieceFailure, type PieceResult } from "./piece-result.js";
import type { QueuedPiece, QueuedSubmission } from "./queued-submission.js";
import { ResultRoom } from "./result-room.js";
import { RunningCalls } from "./running-calls.js";
import type { StageCapacity } from "./service-definition.js";
import type { StageCaller } from "./stage-caller.js";
import { StageForecast } from "./stage-forecast.js";
import type { StageOutcome, StageTicket } from "./stage-outcome.js";
import { type CallRoom, StageQueue } from "./stage-queue.js";
import { type StageSubmission, submissionKey } from "./stage-submission.js";
import { type StageWaits, waitOf } from "./stage-wait.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamStandings } from "./upstream-standings.js";

/** Failed calls after which a submission is given up; three upstreams failed it by then. */
const MOST_FAILURES = 3;
/** Time after which an upstream that refused a call is tried again; a fraction of a call. */
const BUSY_RETRY_MS = 60;
/** Time for which an upstream that has no room for results gets no call. */
const NO_ROOM_MS = 150;
/** Time of a call, relative to the typical upstream, from which an upstream counts as slow. */
const SLOW_RATIO = 2;
/** Pieces of a call to an upstream that is probably slow or failing. */
const PROBE_PIECES = 2;
/** Time for which a finished submission is remembered, for a repeated submission of it. */
const REMEMBERED_MS = 5_000;

interface Parts {
  readonly timers: Timers;
  readonly standings: UpstreamStandings;
  readonly stageCaller: Pick<StageCaller, "call" | "release">;
  /** Upstreams that this pool gives calls to. */
  readonly upstreams: () => readonly UpstreamEntry[];
  readonly capacity: () => StageCapacity | undefined;
  /** Takes a further attempt from the budget of the fleet. */
  readonly takeFurther: () => boolean;
  readonly ended: (submission: StageSubmission, outcome: StageOutcome) => void;
}

/** Fills the calls to the upstreams of one stage service with the pieces of all instances. */
export class StagePool {
  private readonly queue = StageQueue.create();
  private readonly rooms = new Map<string, ResultRoom>();
  private readonly running: RunningCalls;
  private readonly forecast: StageForecast;
  private readonly known = new Map<string, QueuedSubmission>();
  private wakeDue = false;

  private constructor(private readonly parts: Parts) {
    this.running = RunningCalls.create(parts.timers);
    this.forecast = StageForecast.create(parts.timers);
  }

  static create(parts: Parts): StagePool {
    return new StagePool(parts);
  }

  /** Queues a submission unless its deadline cannot be met; a repeated one is queued once. */
  submit(submission: StageSubmission): StageTicket {
    const capacity = this.parts.capacity();
    const upstreams = this.parts.upstreams().length;
    if (capacity === undefined || upstreams === 0) {
      return { kind: "refused", retryAfterMs: capacity?.callMs ?? 0 };
    }
    const key = submissionKey(submission);
    const waits = this.waits(capacity);
    const ownMs =
      capacity.callMs + Math.min(capacity.mostPieces, submission.pieces) * capacity.pieceMs;
    const expectedMs = waitOf(waits, submission.rank, submission.resultBytes) + ownMs;
    const known = this.known.get(key);
    if (known !== undefined) {
      // The submitter did not get the results.
      if (known.outcome !== undefined) this.parts.ended(submission, known.outcome);
      return { kind: "accepted", expectedMs, waits };
    }
    if (expectedMs + submission.afterMs > submission.leftMs) {
      return { kind: "refused", retryAfterMs: expectedMs, waits };
    }
    this.forecast.arrived(submission.rank, submission.pieces);
    const now = this.parts.timers.now();
    const queued: QueuedSubmission = {
      submission,
      enqueuedMs: now,
      targetMs: now + submission.targetLeftMs,
      deadlineMs: now + submission.leftMs,
      handles: Array.from({ length: submission.pieces }),
      makers: [],
      failures: 0,
      ended: false,
      outcome: undefined,
    };
    this.known.set(key, queued);
    this.queue.add(queued.handles.map((_, piece) => ({ owner: queued, piece })));
    this.fill();
    return { kind: "accepted", expectedMs, waits };
  }

  /** Drops a submission; results that were made for it are released. */
  cancel(key: string): void {
    const queued = this.known.get(key);
    if (queued === undefined) return;
    this.known.delete(key);
    // The results of an ended submission belong to its submitter.
    if (queued.ended) return;
    queued.ended = true;
    this.release(queued.handles.filter((handle) => handle !== undefined));
  }

  /** Frees the memory of results. */
  release(handles: readonly string[]): void {
    this.parts.stageCaller.release(handles, (handle) => {
      for (const room of this.rooms.values()) room.release(handle);
      this.fill();
    });
  }

  private waits(capacity: StageCapacity): StageWaits {
    const reachable = this.reachable();
    return this.forecast.waits({
      capacity,
      upstreams: Math.max(1, reachable.length),
      ratio: this.typicalRatio(reachable),
      allBusy: this.running.busy >= reachable.length,
      ahead: (rank) => this.queue.ahead(rank),
    });
  }

  private reachable(): UpstreamEntry[] {
    return this.parts.upstreams().filter(({ id }) => !this.parts.standings.of(id).avoided);
  }

  /** Starts a call at each idle upstream for which pieces wait. */
  private fill(): void {
    const { timers } = this.parts;
    const capacity = this.parts.capacity();
    if (capacity === undefined) return;
    for (const late of this.queue.expire(timers.now())) this.fail(late, PieceFailure.Late);
    if (this.queue.size === 0) return;
    const reachable = this.reachable();
    const typical = this.typicalRatio(reachable);
    const othersFill = reachable.length * capacity.mostPieces;
    const spare = reachable.filter((entry) => this.isSpare(entry, typical, othersFill));
    const usual = reachable.filter((entry) => !spare.includes(entry));
    const dataCentres = new Set(usual.map(({ dataCentre }) => dataCentre));
    for (const entry of usual) {
      this.fillCall(entry, capacity, {
        mostPieces: capacity.mostPieces,
        probe: false,
        dataCentres,
      });
    }
    for (const entry of spare) {
      // A few waiting pieces are done sooner by the next upstream that becomes free.
      if (this.queue.size <= capacity.mostPieces || !this.parts.standings.of(entry.id).claimProbe())
        continue;
      this.fillCall(entry, capacity, { mostPieces: PROBE_PIECES, probe: true, dataCentres });
    }
    if (this.queue.size > 0) this.wakeLater();
  }

  private fillCall(
    entry: UpstreamEntry,
    capacity: StageCapacity,
    room: Omit<CallRoom, "dataCentre" | "resultBytes">,
  ): void {
    if (this.queue.size === 0 || !this.running.isFree(entry.id)) return;
    const { dataCentre } = entry;
    const resultBytes = this.room(entry.id).free(capacity.resultBytes);
    const now = this.parts.timers.now();
    const pieces = this.queue.take({ ...room, dataCentre, resultBytes }, now);
    if (pieces.length > 0) void this.call(entry, pieces, capacity);
  }

  /** Whether the upstream is so slow that the others finish the waiting pieces earlier. */
  private isSpare(entry: UpstreamEntry, typical: number, othersFill: number): boolean {
    const standing = this.parts.standings.of(entry.id);
    const slow = (standing.ratio ?? typical) > SLOW_RATIO * typical || standing.failing;
    return slow && this.queue.size < othersFill;
  }

  private typicalRatio(entries: readonly UpstreamEntry[]): number {
    const ratios = entries
      .map(({ id }) => this.parts.standings.of(id).ratio ?? 1)
      .sort((a, b) => a - b);
    return ratios[Math.floor((ratios.length - 1) / 2)] ?? 1;
  }

  private wakeLater(): void {
    if (this.wakeDue) return;
    this.wakeDue = true;
    const { timers } = this.parts;
    const patience = this.queue.nextPatienceEnd(timers.now());
    timers.after(Math.min(BUSY_RETRY_MS, (patience ?? BUSY_RETRY_MS) + 1), () => {
      this.wakeDue = false;
      this.fill();
    });
  }

  private async call(
    entry: UpstreamEntry,
    pieces: readonly QueuedPiece[],
    capacity: StageCapacity,
  ): Promise<void> {
    const { timers, stageCaller } = this.parts;
    const ratio = this.parts.standings.of(entry.id).ratio ?? 1;
    const expectedMs = ratio * (capacity.callMs + pieces.length * capacity.pieceMs);
    const endRunning = this.running.begin(entry.id, expectedMs, () => {
      this.fill();
    });
    const bytes = pieces.reduce((sum, { owner }) => sum + owner.submission.resultBytes, 0);
    const endReservation = this.room(entry.id).reserve(bytes);
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
      this.room(entry.id).keep(result.handle, owner.submission.resultBytes, capacity.keptMs);
      if (owner.ended) this.release([result.handle]);
      else this.made(piece, result.handle, entry.dataCentre);
      return;
    }
    switch (result.reason) {
      case PieceFailure.Late:
      case PieceFailure.InputGone:
        this.fail(owner, result.reason);
        return;
      case PieceFailure.NoRoom:
        this.room(entry.id).full(NO_ROOM_MS);
        if (!owner.ended) this.queue.add([piece]);
        return;
      case PieceFailure.Failed:
        this.again([piece]);
    }
  }

  private made({ owner, piece }: QueuedPiece, handle: string, dataCentre: string): void {
    owner.handles[piece] = handle;
    owner.makers.push(dataCentre);
    const handles = owner.handles.filter((each) => each !== undefined);
    if (handles.length < owner.handles.length) return;
    this.end(owner, { kind: "made", handles, dataCentre: mostFrequent(owner.makers) });
  }

  /** Queues pieces of a failed call once more where the budget and their submission allow it. */
  private again(pieces: readonly QueuedPiece[]): void {
    for (const owner of new Set(pieces.map((piece) => piece.owner))) {
      if (owner.ended) continue;
      owner.failures += 1;
      if (owner.failures >= MOST_FAILURES || !this.parts.takeFurther()) {
        this.fail(owner, PieceFailure.Failed);
      } else this.queue.add(pieces.filter((piece) => piece.owner === owner));
    }
  }

  private fail(owner: QueuedSubmission, reason: PieceFailure): void {
    if (owner.ended) return;
    this.release(owner.handles.filter((handle) => handle !== undefined));
    this.end(owner, { kind: "failed", reason });
  }

  private end(owner: QueuedSubmission, outcome: StageOutcome): void {
    owner.ended = true;
    owner.outcome = outcome;
    this.parts.ended(owner.submission, outcome);
    const key = submissionKey(owner.submission);
    this.parts.timers.after(REMEMBERED_MS, () => {
      if (this.known.get(key) === owner) this.known.delete(key);
    });
  }

  private room(id: string): ResultRoom {
    let room = this.rooms.get(id);
    if (room === undefined) {
      room = ResultRoom.create(this.parts.timers);
      this.rooms.set(id, room);
    }
    return room;
  }
}

function mostFrequent(values: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0] ?? "";
}
