import { ENGINE_FIRST_EVENT_MS } from "./stage-timing.js";
import type { QueuedPiece, QueuedSubmission } from "./queued-submission.js";

/** Transferred bytes from which a submission waits for an upstream in its own data centre. */
const MIN_AFFINITY_BYTES = 1_000_000;
/** Longest wait for the own data centre; about one stage call. */
const MAX_AFFINITY_WAIT_MS = 400;
/** Fraction of the time to the target that may be spent on that wait. */
const MAX_AFFINITY_WAIT_FRACTION = 0.25;

/** The upstream that a call is assembled for, and the limits of the call. */
export interface CallTarget {
  readonly dataCentre: string;
  readonly mostPieces: number;
  /** Time of the call without its pieces, in ms. */
  readonly callMs: number;
  /** Time of a full call in ms. */
  readonly fullMs: number;
  /** Free memory for results in bytes. */
  readonly resultBytes: number;
  /** Whether the call is a probe of an upstream that is probably slow or failing. */
  readonly probe: boolean;
  /** Data centres with an upstream of the service that accepts work. */
  readonly dataCentres: ReadonlySet<string>;
}

/** Pieces that wait for calls. */
export interface QueuedWork {
  readonly pieces: number;
  /** Size of their results. */
  readonly bytes: number;
}

/** How fast the upstreams of a queue work. */
export interface QueueThroughput {
  /** Least time of a call in ms. */
  readonly callMs: number;
  readonly piecesPerMs: number;
}

/**
 * Queue of the pieces that all instances submit to one service. Calls are filled by rank, then by
 * the time at which the stage must finish; within a rank, work that will miss its target comes last.
 * Batching suits many small requests to upstreams whose calls take about the same time with one
 * piece as with a full batch, also under an overload that makes some of the requests late.
 */
export class StageQueue {
  /** Waiting pieces by submission; ordering submissions is cheaper, as there are fewer of them. */
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

  /** Waiting submissions none of whose pieces has been sent in a call. */
  get unstartedSubmissions(): ReadonlySet<QueuedSubmission> {
    return new Set([...this.waiting.keys()].filter(({ ended, started }) => !ended && !started));
  }

  add(pieces: readonly QueuedPiece[]): void {
    for (const piece of pieces) {
      const group = this.waiting.get(piece.parent);
      if (group === undefined) this.waiting.set(piece.parent, [piece]);
      else group.push(piece);
    }
    this.count += pieces.length;
  }

  /**
   * For each rank, the waiting pieces of that rank and all more urgent ones, and the size of their
   * results. Counted in a single pass, since it is needed for each submission.
   */
  workByRank(ranks: number): readonly QueuedWork[] {
    const pieces = new Array<number>(ranks).fill(0);
    const bytes = new Array<number>(ranks).fill(0);
    for (const [parent, group] of this.waiting) {
      if (parent.ended) continue;
      const { rank, resultBytes } = parent.submission;
      const at = Math.min(Math.max(0, rank), ranks - 1);
      pieces[at] = (pieces[at] ?? 0) + group.length;
      bytes[at] = (bytes[at] ?? 0) + group.length * resultBytes;
    }
    let work: QueuedWork = { pieces: 0, bytes: 0 };
    return pieces.map((count, at) => {
      work = { pieces: work.pieces + count, bytes: work.bytes + (bytes[at] ?? 0) };
      return work;
    });
  }

  /**
   * Removes the pieces of ended submissions and of those that can no longer meet their deadline
   * behind the work ahead of them; returns the latter. Urgent arrivals can delay admitted work until
   * it could only be late.
   */
  removeExpired(now: number, { callMs, piecesPerMs }: QueueThroughput): QueuedSubmission[] {
    const late: QueuedSubmission[] = [];
    const live = [...this.waiting].filter(([parent]) => !parent.ended);
    live.sort(([a], [b]) => compareSubmissions(a, b, { now, callMs }));
    let ahead = 0;
    const kept = live.filter(([parent, group]) => {
      const leftMs = parent.deadlineMs - now - parent.submission.afterMs;
      // The last piece is done when the call that carries it ends.
      if ((ahead + group.length - 1) / piecesPerMs + callMs <= leftMs) {
        ahead += group.length;
        return true;
      }
      late.push(parent);
      return false;
    });
    this.waiting = new Map(kept);
    this.count = ahead;
    return late;
  }

  /** Removes and returns the pieces of the next call; empty if none should run there now. */
  takeBatch(target: CallTarget, now: number): QueuedPiece[] {
    const order = { now, callMs: target.callMs };
    const eligible = [...this.waiting].filter(
      ([parent]) => !parent.ended && !this.waitsForDataCentre(parent, target, now),
    );
    eligible.sort(([a], [b]) => compareSubmissions(a, b, order));
    // A probe may be late or lost, so it carries the least urgent pieces.
    if (target.probe) eligible.reverse();
    const taken: QueuedPiece[] = [];
    let bytes = target.resultBytes;
    for (const [parent, group] of eligible) {
      if (taken.length >= target.mostPieces) break;
      const { resultBytes } = parent.submission;
      const fitting = Math.min(
        target.mostPieces - taken.length,
        resultBytes === 0 ? Infinity : Math.floor(bytes / resultBytes),
      );
      // Keeps the results of a request on one upstream where possible.
      if (fitting < group.length && taken.length > 0) continue;
      const chosen = group.splice(0, Math.max(0, fitting));
      if (group.length === 0) this.waiting.delete(parent);
      bytes -= chosen.length * resultBytes;
      taken.push(...chosen);
    }
    this.count -= taken.length;
    return taken;
  }

  /** Time in ms until a piece that waits for its data centre may run elsewhere; undefined if none. */
  nextAffinityExpiryMs(now: number, fullMs: number): number | undefined {
    let least: number | undefined;
    for (const parent of this.waiting.keys()) {
      const left = parent.enqueuedMs + affinityWaitMs(parent, fullMs) - now;
      if (left > 0 && (least === undefined || left < least)) least = left;
    }
    return least;
  }

  private waitsForDataCentre(parent: QueuedSubmission, target: CallTarget, now: number): boolean {
    const { dataCentre } = parent.submission;
    if (dataCentre === undefined || dataCentre === target.dataCentre) return false;
    if (!target.dataCentres.has(dataCentre)) return false;
    return now - parent.enqueuedMs < affinityWaitMs(parent, target.fullMs);
  }
}

/** Longest wait for the own data centre in ms; 0 if the wait would cost the target. */
function affinityWaitMs(parent: QueuedSubmission, fullMs: number): number {
  const { dataCentre, pieces, movedBytes } = parent.submission;
  if (dataCentre === undefined || pieces * movedBytes < MIN_AFFINITY_BYTES) return 0;
  const slackMs = stageDueMs(parent) - ENGINE_FIRST_EVENT_MS - fullMs - parent.enqueuedMs;
  const partMs = MAX_AFFINITY_WAIT_FRACTION * (parent.targetMs - parent.enqueuedMs);
  return Math.max(0, Math.min(MAX_AFFINITY_WAIT_MS, partMs, slackMs));
}

function compareSubmissions(
  a: QueuedSubmission,
  b: QueuedSubmission,
  order: { readonly now: number; readonly callMs: number },
): number {
  if (a.submission.rank !== b.submission.rank) return a.submission.rank - b.submission.rank;
  const aLost = willMissTarget(a, order);
  const bLost = willMissTarget(b, order);
  if (aLost !== bLost) return Number(aLost) - Number(bLost);
  return aLost ? a.deadlineMs - b.deadlineMs : stageDueMs(a) - stageDueMs(b);
}

function willMissTarget(
  parent: QueuedSubmission,
  { now, callMs }: { readonly now: number; readonly callMs: number },
): boolean {
  return now + callMs > stageDueMs(parent);
}

/** Time at which the stage must finish for the request to meet its target. */
function stageDueMs({ targetMs, submission }: QueuedSubmission): number {
  return targetMs - submission.afterMs;
}
