import { PieceFailure } from "../../src/forward/piece-result.js";
import type { QueuedPiece } from "../../src/forward/queued-submission.js";
import type { StageCapacity } from "../../src/forward/service-definition.js";
import type { CallOutcome } from "../../src/forward/stage-caller.js";
import type { StageOutcome, StageTicket } from "../../src/forward/stage-outcome.js";
import { StagePool } from "../../src/forward/stage-pool.js";
import type { StageSubmission } from "../../src/forward/stage-submission.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import type { UpstreamEntry } from "../../src/forward/upstream-entry.js";
import type { UpstreamHealth } from "../../src/forward/upstream-health.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { ManualTimers } from "../../src/time/manual-timers.js";

const DATA_CENTRES = ["a", "b", "c"];
const LARGE_BYTES = 1_000_000_000;
const KEPT_MS = 4_000;
const LEFT_MS = 8_000;
const TARGET_MS = 4_000;

/** One call that the pool made. */
export interface MadeCall {
  readonly upstream: string;
  readonly dataCentre: string;
  readonly pieces: readonly QueuedPiece[];
}

/** A stage pool before scripted upstreams, on a manual clock. */
export class StageBench {
  readonly calls: MadeCall[] = [];
  readonly reports: { submission: StageSubmission; outcome: StageOutcome }[] = [];
  readonly accepted: StageSubmission[] = [];
  readonly callMsOf = new Map<string, number>();
  next: CallOutcome["kind"] = "results";
  furtherAttempts = 0;
  /** Times that the rank of a submission was read: a measure of the work for a decision. */
  rankReads = 0;
  memoryBytes = LARGE_BYTES;
  /** Time after which results are released; undefined to keep them. */
  releaseAfterMs: number | undefined;
  callsAtOnce = 1;
  private readonly entries: UpstreamEntry[];
  private readonly pool: StagePool;
  private readonly standings: UpstreamHealthRegistry;
  private sequence = 0;

  private constructor(
    upstreams: number,
    private readonly shape: Pick<StageCapacity, "mostPieces" | "callMs" | "pieceMs">,
    readonly timers: ManualTimers,
  ) {
    this.entries = DATA_CENTRES.slice(0, upstreams).map((dataCentre, at) => ({
      id: `u${at}`,
      service: "stage",
      address: `10.0.0.${at}:80`,
      dataCentre,
      slots: 1,
      draining: false,
      warmupMs: 0,
      startedMs: 0,
    }));
    const directory = UpstreamDirectory.create({ timers: this.timers });
    this.standings = UpstreamHealthRegistry.create({ timers: this.timers, directory });
    this.pool = StagePool.create({
      timers: this.timers,
      upstreamHealth: this.standings,
      stageCaller: {
        call: (entry, pieces) => this.call(entry, pieces),
        release: (handles, released) => {
          handles.forEach(released);
        },
      },
      upstreams: () => this.entries,
      capacity: () => ({
        ...this.shape,
        callsAtOnce: this.callsAtOnce,
        resultBytes: this.memoryBytes,
        keptMs: KEPT_MS,
      }),
      tryTakeRetry: () => {
        this.furtherAttempts += 1;
        return true;
      },
      onEnded: (submission, outcome) => {
        this.reports.push({ submission, outcome });
        const { releaseAfterMs } = this;
        if (outcome.kind !== "made" || releaseAfterMs === undefined) return;
        timers.after(releaseAfterMs, () => {
          this.pool.release(outcome.handles);
        });
      },
    });
  }

  static create(
    upstreams: number,
    shape: Pick<StageCapacity, "mostPieces" | "callMs" | "pieceMs">,
    timers = ManualTimers.create(),
  ): StageBench {
    return new StageBench(upstreams, shape, timers);
  }

  submit(changes: Partial<StageSubmission>): StageTicket {
    this.sequence += 1;
    const submission: StageSubmission = {
      service: "stage",
      attemptId: `r${this.sequence}`,
      stage: 0,
      run: 0,
      pieces: 1,
      key: "key",
      rank: 0,
      targetLeftMs: TARGET_MS,
      leftMs: LEFT_MS,
      afterMs: 0,
      later: [],
      allowedMs: TARGET_MS,
      resultBytes: 0,
      movedBytes: 0,
      ...changes,
    };
    const { rank } = submission;
    Object.defineProperty(submission, "rank", {
      get: () => {
        this.rankReads += 1;
        return rank;
      },
    });
    const ticket = this.pool.submit(submission);
    if (ticket.kind === "accepted") this.accepted.push(submission);
    return ticket;
  }

  standingOf(dataCentre: string): UpstreamHealth {
    const entry = this.entries.find((each) => each.dataCentre === dataCentre);
    return this.standings.of(entry?.id ?? "");
  }

  releaseAll(): void {
    for (const { outcome } of this.reports) {
      if (outcome.kind === "made") this.pool.release(outcome.handles);
    }
  }

  private async call(entry: UpstreamEntry, pieces: readonly QueuedPiece[]): Promise<CallOutcome> {
    this.calls.push({ upstream: entry.id, dataCentre: entry.dataCentre, pieces });
    const { next } = this;
    this.next = "results";
    if (next === "refused") return { kind: "refused" };
    const { callMs, pieceMs } = this.shape;
    const ownMs = this.callMsOf.get(entry.dataCentre) ?? callMs;
    await this.timers.sleep(ownMs + pieces.length * pieceMs);
    if (next === "lost") return { kind: "lost" };
    const results = pieces.map(({ parent, piece }) => {
      const handle = `${entry.address}/${parent.submission.attemptId}.${piece}`;
      return parent.ended
        ? ({ kind: "failed", reason: PieceFailure.Failed } as const)
        : ({ kind: "made", handle } as const);
    });
    return { kind: "results", results };
  }
}
