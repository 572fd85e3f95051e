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
import { UpstreamResultMemory } from "../../src/forward/upstream-result-memory.js";
import { ManualTimers } from "../../src/time/manual-timers.js";

const DATA_CENTRES = ["a", "b", "c"];
const LARGE_MEMORY_BYTES = 1_000_000_000;
const RESULT_TTL_MS = 4_000;
const LEFT_MS = 8_000;
const TARGET_MS = 4_000;

/** A call that the pool made. */
export interface RecordedCall {
  readonly upstream: string;
  readonly dataCentre: string;
  readonly pieces: readonly QueuedPiece[];
}

/** A stage pool with simulated upstreams on a manual clock. */
export class StageBench {
  readonly calls: RecordedCall[] = [];
  readonly reports: { submission: StageSubmission; outcome: StageOutcome }[] = [];
  readonly accepted: StageSubmission[] = [];
  readonly callMsByDataCentre = new Map<string, number>();
  nextOutcome: CallOutcome["kind"] = "results";
  retriesTaken = 0;
  /** Reads of the ranks of submissions, as a measure of the work of the pool. */
  rankReads = 0;
  memoryBytes = LARGE_MEMORY_BYTES;
  /** Time after which results are released, in ms; undefined to keep them. */
  releaseAfterMs: number | undefined;
  maxCalls = 1;
  private readonly entries: UpstreamEntry[];
  private readonly pool: StagePool;
  private readonly healthRegistry: UpstreamHealthRegistry;
  private sequence = 0;

  private constructor(
    upstreams: number,
    private readonly batchCapacity: Pick<StageCapacity, "maxPieces" | "baseCallMs" | "pieceMs">,
    readonly timers: ManualTimers,
    memory: UpstreamResultMemory,
  ) {
    this.entries = DATA_CENTRES.slice(0, upstreams).map((dataCentre, index) => ({
      id: `u${index}`,
      service: "stage",
      address: `10.0.0.${index}:80`,
      dataCentre,
      slots: 1,
      draining: false,
      warmupMs: 0,
      startedMs: 0,
      softwareVersion: "",
    }));
    const directory = UpstreamDirectory.create({ timers: this.timers });
    this.healthRegistry = UpstreamHealthRegistry.create({ timers: this.timers, directory });
    this.pool = StagePool.create({
      memory,
      timers: this.timers,
      upstreamHealth: this.healthRegistry,
      heldPermits: { isReady: () => true, take: () => undefined },
      stageCaller: {
        call: (entry, pieces) => this.call(entry, pieces),
        release: (handles, released) => {
          handles.forEach(released);
        },
      },
      upstreams: () => this.entries,
      capacity: () => ({
        ...this.batchCapacity,
        maxCalls: this.maxCalls,
        resultBytes: this.memoryBytes,
        ttlMs: RESULT_TTL_MS,
      }),
      tryTakeRetry: () => {
        this.retriesTaken += 1;
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
    batchCapacity: Pick<StageCapacity, "maxPieces" | "baseCallMs" | "pieceMs">,
    timers = ManualTimers.create(),
    memory = UpstreamResultMemory.create(timers),
  ): StageBench {
    return new StageBench(upstreams, batchCapacity, timers, memory);
  }

  submit(changes: Partial<StageSubmission>, pathWaitMs?: (ownMs: number) => number): StageTicket {
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
    const ticket = this.pool.submit(submission, pathWaitMs);
    if (ticket.kind === "accepted") this.accepted.push(submission);
    return ticket;
  }

  healthOf(dataCentre: string): UpstreamHealth {
    const entry = this.entries.find((each) => each.dataCentre === dataCentre);
    return this.healthRegistry.of(entry?.id ?? "");
  }

  releaseAll(): void {
    for (const { outcome } of this.reports) {
      if (outcome.kind === "made") this.pool.release(outcome.handles);
    }
  }

  private async call(entry: UpstreamEntry, pieces: readonly QueuedPiece[]): Promise<CallOutcome> {
    this.calls.push({ upstream: entry.id, dataCentre: entry.dataCentre, pieces });
    const { nextOutcome } = this;
    this.nextOutcome = "results";
    if (nextOutcome === "refused") return { kind: "refused" };
    const { baseCallMs, pieceMs } = this.batchCapacity;
    const callMs = this.callMsByDataCentre.get(entry.dataCentre) ?? baseCallMs;
    await this.timers.sleep(callMs + pieces.length * pieceMs);
    if (nextOutcome === "lost") return { kind: "lost" };
    const results = pieces.map(({ parent, piece }) => {
      const handle = `${entry.address}/${parent.submission.attemptId}.${piece}`;
      return parent.ended
        ? ({ kind: "failed", reason: PieceFailure.Failed } as const)
        : ({ kind: "made", handle } as const);
    });
    return { kind: "results", results };
  }
}
