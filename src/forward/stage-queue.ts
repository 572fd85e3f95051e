import { ENGINE_FIRST_EVENT_MS } from "./stage-timing.js";
import type { QueuedPiece, QueuedSubmission } from "./queued-submission.js";

/** Bytes to transfer from which a submission waits for an upstream in its own data centre. */
const MIN_AFFINITY_BYTES = 1_000_000;
/** Longest wait for an upstream in the own data centre; about one stage call. */
const MAX_AFFINITY_WAIT_MS = 400;
/** Fraction of the slack before the target that may be spent on that wait. */
const MAX_AFFINITY_SLACK_FRACTION = 0.25;

/** The upstream that a call is assembled for, and the limits of the call. */
export interface CallTarget {
  readonly dataCentre: string;
  readonly maxPieces: number;
  /** Time of the call without its pieces, in ms. */
  readonly baseCallMs: number;
  /** Time of a full call in ms. */
  readonly fullMs: number;
  /** Free memory for results in bytes. */
  readonly resultBytes: number;
  /** Whether the call probes an upstream that is probably slow or failing. */
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

/** Throughput of the upstreams of a queue. */
export interface QueueThroughput {
  /** Time of a call without its pieces, in ms. */
  readonly baseCallMs: number;
  readonly piecesPerMs: number;
}

/**
 * Queue of the pieces that all instances submit to one service. Calls are filled by rank, then by
 * the time by which the stage must finish; work that will miss its target is last in its rank, so
 * that an overload does not make all requests late. Calls are batched, as they take about the
 * same time with one piece as with a full batch.
 */
export class StageQueue {
  /** Waiting pieces by submission; there are fewer submissions to sort than pieces. */
  private waiting = new Map<QueuedSubmission, QueuedPiece[]>();
  private pieceCount = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): StageQueue {
    return new StageQueue();
  }

  /** Waiting pieces. */
  get size(): number {
    return this.pieceCount;
  }

  /** Rank of the most urgent waiting submission; infinite if none waits. */
  get mostUrgentRank(): number {
    return Math.min(...[...this.waiting.keys()].map(({ submission }) => submission.rank));
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
    this.pieceCount += pieces.length;
  }

  /**
   * For each rank, the waiting pieces of that rank and all more urgent ones, and the size of their
   * results. Counted in a single pass, as it is called for each new submission.
   */
  workByRank(ranks: number): readonly QueuedWork[] {
    const pieces = new Array<number>(ranks).fill(0);
    const byteCounts = new Array<number>(ranks).fill(0);
    for (const [parent, group] of this.waiting) {
      if (parent.ended) continue;
      const { rank, resultBytes } = parent.submission;
      const index = Math.min(Math.max(0, rank), ranks - 1);
      pieces[index] = (pieces[index] ?? 0) + group.length;
      byteCounts[index] = (byteCounts[index] ?? 0) + group.length * resultBytes;
    }
    let work: QueuedWork = { pieces: 0, bytes: 0 };
    return pieces.map((pieceCount, index) => {
      work = { pieces: work.pieces + pieceCount, bytes: work.bytes + (byteCounts[index] ?? 0) };
      return work;
    });
  }

  /**
   * Removes the pieces of ended submissions and of those that will miss their deadline because of
   * the work ahead of them; returns the latter. More urgent arrivals can delay submissions that
   * could meet their deadline when they were accepted.
   */
  removeExpired(now: number, { baseCallMs, piecesPerMs }: QueueThroughput): QueuedSubmission[] {
    const expired: QueuedSubmission[] = [];
    const live = [...this.waiting].filter(([parent]) => !parent.ended);
    live.sort(([a], [b]) => compareSubmissions(a, b, { now, baseCallMs }));
    let piecesAhead = 0;
    const kept = live.filter(([parent, group]) => {
      const leftMs = parent.deadlineMs - now - parent.submission.afterMs;
      // The last piece is done when the call that carries it ends.
      if ((piecesAhead + group.length - 1) / piecesPerMs + baseCallMs <= leftMs) {
        piecesAhead += group.length;
        return true;
      }
      expired.push(parent);
      return false;
    });
    this.waiting = new Map(kept);
    this.pieceCount = piecesAhead;
    return expired;
  }

  /**
   * Removes and returns the pieces of the next call; empty if none should run there now. While more
   * than a full call waits, pieces that wait for their data centre fill calls elsewhere: their wait
   * would be added to that of all work behind them, and retain the inputs of their stage.
   */
  takeBatch(target: CallTarget, now: number): QueuedPiece[] {
    const order = { now, baseCallMs: target.baseCallMs };
    const live = [...this.waiting].filter(([parent]) => !parent.ended);
    live.sort(([a], [b]) => compareSubmissions(a, b, order));
    // A probe may be slow or lost, so it carries the least urgent pieces.
    if (target.probe) live.reverse();
    const waitsElsewhere = ([parent]: (typeof live)[number]): boolean =>
      this.waitsForDataCentre(parent, target, now);
    const eligible = live.filter((each) => !waitsElsewhere(each));
    const crowded = !target.probe && this.pieceCount > target.maxPieces;
    const others = crowded ? live.filter(waitsElsewhere) : [];
    const taken: QueuedPiece[] = [];
    let freeBytes = target.resultBytes;
    for (const [parent, group] of [...eligible, ...others]) {
      if (taken.length >= target.maxPieces) break;
      const { resultBytes } = parent.submission;
      const fitting = Math.min(
        target.maxPieces - taken.length,
        resultBytes === 0 ? Infinity : Math.floor(freeBytes / resultBytes),
      );
      // Avoids splitting a submission, so that its results are on one upstream where possible.
      if (fitting < group.length && taken.length > 0) continue;
      const chosen = group.splice(0, Math.max(0, fitting));
      if (group.length === 0) this.waiting.delete(parent);
      freeBytes -= chosen.length * resultBytes;
      taken.push(...chosen);
    }
    this.pieceCount -= taken.length;
    return taken;
  }

  /** Time in ms until the next piece waiting for its data centre may run elsewhere, if any. */
  nextAffinityExpiryMs(now: number, fullMs: number): number | undefined {
    let earliestMs: number | undefined;
    for (const parent of this.waiting.keys()) {
      const remainingMs = parent.enqueuedAtMs + affinityWaitMs(parent, fullMs) - now;
      if (remainingMs > 0 && (earliestMs === undefined || remainingMs < earliestMs))
        earliestMs = remainingMs;
    }
    return earliestMs;
  }

  private waitsForDataCentre(parent: QueuedSubmission, target: CallTarget, now: number): boolean {
    const { dataCentre } = parent.submission;
    if (dataCentre === undefined || dataCentre === target.dataCentre) return false;
    if (!target.dataCentres.has(dataCentre)) return false;
    return now - parent.enqueuedAtMs < affinityWaitMs(parent, target.fullMs);
  }
}

/** Longest wait for the own data centre in ms; 0 if the request would miss its target by it. */
function affinityWaitMs(parent: QueuedSubmission, fullMs: number): number {
  const { dataCentre, pieces, movedBytes } = parent.submission;
  if (dataCentre === undefined || pieces * movedBytes < MIN_AFFINITY_BYTES) return 0;
  const slackMs = stageDueMs(parent) - ENGINE_FIRST_EVENT_MS - fullMs - parent.enqueuedAtMs;
  return Math.max(0, Math.min(MAX_AFFINITY_WAIT_MS, MAX_AFFINITY_SLACK_FRACTION * slackMs));
}

function compareSubmissions(
  a: QueuedSubmission,
  b: QueuedSubmission,
  order: { readonly now: number; readonly baseCallMs: number },
): number {
  if (a.submission.rank !== b.submission.rank) return a.submission.rank - b.submission.rank;
  const aIsLate = willMissTarget(a, order);
  const bIsLate = willMissTarget(b, order);
  if (aIsLate !== bIsLate) return Number(aIsLate) - Number(bIsLate);
  return aIsLate ? a.deadlineMs - b.deadlineMs : stageDueMs(a) - stageDueMs(b);
}

function willMissTarget(
  parent: QueuedSubmission,
  { now, baseCallMs }: { readonly now: number; readonly baseCallMs: number },
): boolean {
  return now + baseCallMs > stageDueMs(parent);
}

/** Time at which the stage must finish for the request to meet its target. */
function stageDueMs({ targetMs, submission }: QueuedSubmission): number {
  return targetMs - submission.afterMs;
}
