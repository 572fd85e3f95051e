import { ENGINE_MS } from "./stage-pace.js";
import type { QueuedPiece, QueuedSubmission } from "./queued-submission.js";

/** Bytes of a submission from which a transfer between data centres is worth a wait. */
const BULKY_BYTES = 1_000_000;
/** Longest such wait; about one call of a stage. */
const MOST_PATIENCE_MS = 400;
/** Part of the time to the target that a piece may spend on that wait. */
const PATIENCE_PART = 0.25;

/** The upstream that a call is filled for. */
export interface CallRoom {
  readonly dataCentre: string;
  readonly mostPieces: number;
  /** Time of the call without its pieces, in ms. */
  readonly callMs: number;
  /** Time of a full call in ms. */
  readonly fullMs: number;
  /** Free memory for results in bytes. */
  readonly resultBytes: number;
  /** Whether the call only finds out how the upstream does. */
  readonly probe: boolean;
  /** Data centres with an upstream of the service that takes work. */
  readonly dataCentres: ReadonlySet<string>;
}

/** Pieces that wait for calls. */
export interface WaitingWork {
  readonly pieces: number;
  /** Size of their results. */
  readonly bytes: number;
}

/** How fast the upstreams of a queue work. */
export interface QueuePace {
  /** Least time of a call in ms. */
  readonly callMs: number;
  readonly piecesPerMs: number;
}

/**
 * The pieces of all instances that wait for one service. Fills each call by rank, then by the time
 * at which the stage has to be done; work that can no longer meet its target takes what is left of
 * its rank. Answers the load pattern of many small requests for upstreams whose calls cost the same
 * whether they carry one piece or a full batch, also in a flood that makes some of them late.
 */
export class StageQueue {
  /** Waiting pieces by submission: decisions are made for submissions, of which there are fewer. */
  private waiting = new Map<QueuedSubmission, QueuedPiece[]>();
  private count = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): StageQueue {
    return new StageQueue();
  }

  /** Waiting pieces. */
  get size(): number {
    return this.count;
  }

  /** Submissions that wait and of which no piece was part of a call. */
  get untouched(): ReadonlySet<QueuedSubmission> {
    return new Set([...this.waiting.keys()].filter(({ ended, begun }) => !ended && !begun));
  }

  add(pieces: readonly QueuedPiece[]): void {
    for (const piece of pieces) {
      const group = this.waiting.get(piece.owner);
      if (group === undefined) this.waiting.set(piece.owner, [piece]);
      else group.push(piece);
    }
    this.count += pieces.length;
  }

  /**
   * By rank, the waiting pieces of the rank and all more urgent ones, and the size of their results.
   * Counts them in one pass, as each submission asks.
   */
  ahead(ranks: number): readonly WaitingWork[] {
    const pieces = new Array<number>(ranks).fill(0);
    const bytes = new Array<number>(ranks).fill(0);
    for (const [owner, group] of this.waiting) {
      if (owner.ended) continue;
      const { rank, resultBytes } = owner.submission;
      const at = Math.min(Math.max(0, rank), ranks - 1);
      pieces[at] = (pieces[at] ?? 0) + group.length;
      bytes[at] = (bytes[at] ?? 0) + group.length * resultBytes;
    }
    let work: WaitingWork = { pieces: 0, bytes: 0 };
    return pieces.map((count, at) => {
      work = { pieces: work.pieces + count, bytes: work.bytes + (bytes[at] ?? 0) };
      return work;
    });
  }

  /**
   * Drops the pieces of ended submissions, and of those whose deadline cannot be met any more
   * behind the work ahead of them; returns the latter. Answers the load pattern of urgent arrivals
   * that push admitted work back until it could only be late.
   */
  expire(now: number, { callMs, piecesPerMs }: QueuePace): QueuedSubmission[] {
    const late: QueuedSubmission[] = [];
    const live = [...this.waiting].filter(([owner]) => !owner.ended);
    live.sort(([a], [b]) => before(a, b, { now, callMs }));
    let ahead = 0;
    const kept = live.filter(([owner, group]) => {
      const leftMs = owner.deadlineMs - now - owner.submission.afterMs;
      // The last piece is done at the end of the call that it is part of.
      if ((ahead + group.length - 1) / piecesPerMs + callMs <= leftMs) {
        ahead += group.length;
        return true;
      }
      late.push(owner);
      return false;
    });
    this.waiting = new Map(kept);
    this.count = ahead;
    return late;
  }

  /** Takes the pieces of the next call; empty if no piece should run there now. */
  take(room: CallRoom, now: number): QueuedPiece[] {
    const order = { now, callMs: room.callMs };
    const eligible = [...this.waiting].filter(
      ([owner]) => !owner.ended && !this.holdsBack(owner, room, now),
    );
    eligible.sort(([a], [b]) => before(a, b, order));
    // A probe may be late or lost, so it carries what is least urgent.
    if (room.probe) eligible.reverse();
    const taken: QueuedPiece[] = [];
    let bytes = room.resultBytes;
    for (const [owner, group] of eligible) {
      if (taken.length >= room.mostPieces) break;
      const { resultBytes } = owner.submission;
      const fitting = Math.min(
        room.mostPieces - taken.length,
        resultBytes === 0 ? Infinity : Math.floor(bytes / resultBytes),
      );
      // The results of one request stay in one place where possible.
      if (fitting < group.length && taken.length > 0) continue;
      const chosen = group.splice(0, Math.max(0, fitting));
      if (group.length === 0) this.waiting.delete(owner);
      bytes -= chosen.length * resultBytes;
      taken.push(...chosen);
    }
    this.count -= taken.length;
    return taken;
  }

  /** Time until a piece that waits for its data centre may run elsewhere; undefined if none. */
  nextPatienceEnd(now: number, fullMs: number): number | undefined {
    let least: number | undefined;
    for (const owner of this.waiting.keys()) {
      const left = owner.enqueuedMs + patience(owner, fullMs) - now;
      if (left > 0 && (least === undefined || left < least)) least = left;
    }
    return least;
  }

  private holdsBack(owner: QueuedSubmission, room: CallRoom, now: number): boolean {
    const { dataCentre } = owner.submission;
    if (dataCentre === undefined || dataCentre === room.dataCentre) return false;
    if (!room.dataCentres.has(dataCentre)) return false;
    return now - owner.enqueuedMs < patience(owner, room.fullMs);
  }
}

/** Work that would miss its target by waiting for its data centre does not wait. */
function patience(owner: QueuedSubmission, fullMs: number): number {
  const { dataCentre, pieces, movedBytes } = owner.submission;
  if (dataCentre === undefined || pieces * movedBytes < BULKY_BYTES) return 0;
  const slackMs = doneByMs(owner) - ENGINE_MS - fullMs - owner.enqueuedMs;
  const partMs = PATIENCE_PART * (owner.targetMs - owner.enqueuedMs);
  return Math.max(0, Math.min(MOST_PATIENCE_MS, partMs, slackMs));
}

function before(
  a: QueuedSubmission,
  b: QueuedSubmission,
  order: { readonly now: number; readonly callMs: number },
): number {
  if (a.submission.rank !== b.submission.rank) return a.submission.rank - b.submission.rank;
  const aLost = hasLostTarget(a, order);
  const bLost = hasLostTarget(b, order);
  if (aLost !== bLost) return Number(aLost) - Number(bLost);
  return aLost ? a.deadlineMs - b.deadlineMs : doneByMs(a) - doneByMs(b);
}

function hasLostTarget(
  owner: QueuedSubmission,
  { now, callMs }: { readonly now: number; readonly callMs: number },
): boolean {
  return now + callMs > doneByMs(owner);
}

/** Time at which the stage has to be done for the target to be met. */
function doneByMs({ targetMs, submission }: QueuedSubmission): number {
  return targetMs - submission.afterMs;
}
