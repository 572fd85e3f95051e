import { boundedText } from "../upstream/bounded-text.js";
import type { Connection } from "../upstream/connection.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import type { Dialect } from "./dialect.js";
import type { KeptConnections, TakenConnection } from "./kept-connections.js";
import { postCall } from "./post-call.js";
import type { PieceResult } from "./piece-result.js";
import type { QueuedPiece } from "./queued-submission.js";
import type { StageCapacity } from "./service-definition.js";
import { StageReleases } from "./stage-releases.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealth } from "./upstream-health.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";
import { recordAvailability } from "./upstream-availability.js";

/** A call that takes this multiple of its expected time is taken as lost. */
const LOST_FACTOR = 2;
/** Added to it for the round trip and the transfer of inputs. */
const LOST_SLACK_MS = 250;
/** A kept connection that fails within this part of a call carried no work: it was dropped before. */
const DROPPED_PART = 0.25;
/** Such a failure counts as a drop up to this time in any case; a busy instance reads resets late. */
const LEAST_DROPPED_MS = 50;
/** Above the answer to the largest call; longer ones are not read to their end. */
const MOST_ANSWER_BYTES = 1_048_576;
/** Results that are remembered for one connection before it is replaced; bounds their memory. */
const MOST_NAMED = 4_096;
const OK = 200;

/** How a stage call ended. */
export type CallAnswer =
  | { readonly kind: "results"; readonly results: readonly PieceResult[] }
  /** The upstream did not run the call. */
  | { readonly kind: "refused" }
  /** The upstream may have run the call, or still runs it. */
  | { readonly kind: "lost" };

interface StageCall {
  readonly entry: UpstreamEntry;
  readonly pieces: readonly QueuedPiece[];
  /** That of the process that the call was meant for. */
  readonly standing: UpstreamHealth;
}

interface Parts {
  readonly timers: Timers;
  readonly dialect: Dialect;
  readonly keptConnections: KeptConnections;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly decisionLines: DecisionLines;
}

/** Sends stage calls and releases. */
export class StageCaller {
  private readonly releases: StageReleases;
  /** Results named in earlier answers on a connection. */
  private readonly named = new WeakMap<Connection, Set<string>>();

  private constructor(private readonly parts: Parts) {
    this.releases = StageReleases.create(parts);
  }

  static create(parts: Parts): StageCaller {
    return new StageCaller(parts);
  }

  /** Never throws; a failure is part of the answer. */
  async call(
    entry: UpstreamEntry,
    pieces: readonly QueuedPiece[],
    capacity: StageCapacity,
  ): Promise<CallAnswer> {
    const { timers, decisionLines, upstreamHealth } = this.parts;
    const started = timers.now();
    const expectedMs = capacity.callMs + pieces.length * capacity.pieceMs;
    const late = new AbortController();
    const standing = upstreamHealth.of(entry.id);
    const lostMs =
      LOST_FACTOR * Math.max(1, standing.latencyRatio ?? 1) * expectedMs + LOST_SLACK_MS;
    const limit = timers.after(lostMs, () => {
      late.abort(new Error("no answer in time"));
    });
    let detail = "";
    let answer: CallAnswer;
    try {
      const droppedMs = Math.max(LEAST_DROPPED_MS, DROPPED_PART * capacity.callMs);
      answer = await this.exchange({ entry, pieces, standing }, droppedMs, late.signal);
      if (answer.kind === "results") standing.recordSuccess((timers.now() - started) / expectedMs);
    } catch (error) {
      detail = String(error);
      if (error instanceof ServeError && error.undispatched) {
        standing.recordUnreachable();
        answer = { kind: "refused" };
      } else {
        if (late.signal.aborted) standing.recordSlow((timers.now() - started) / expectedMs);
        else {
          standing.recordFailure();
          standing.recordUnreachable();
        }
        answer = { kind: "lost" };
      }
    } finally {
      limit.cancel();
    }
    decisionLines.write("stage call", {
      upstream: entry.id,
      pieces: pieces.map(({ owner, piece }) => `${owner.submission.attemptId}/${piece}`),
      ms: Math.round(timers.now() - started),
      outcome: answer.kind,
      ...(detail === "" ? {} : { detail }),
    });
    return answer;
  }

  /** See `StageReleases.release`. */
  release(handles: readonly string[], released: (handle: string) => void): void {
    this.releases.release(handles, released);
  }

  /** Makes a call once more on a new connection if the kept one turns out to be dropped. */
  private async exchange(
    call: StageCall,
    droppedMs: number,
    signal: AbortSignal,
  ): Promise<CallAnswer> {
    const { timers, keptConnections } = this.parts;
    for (;;) {
      const taken = await keptConnections.take(call.entry.address, signal);
      const sentMs = timers.now();
      try {
        return await this.exchangeOn(taken, call, signal);
      } catch (error) {
        const dropped = taken.kept && taken.connection.dropped && !signal.aborted;
        if (!dropped || timers.now() - sentMs > droppedMs) throw error;
        keptConnections.distrust(call.entry.address);
      }
    }
  }

  private async exchangeOn(
    taken: TakenConnection,
    { entry, pieces, standing }: StageCall,
    signal: AbortSignal,
  ): Promise<CallAnswer> {
    const { timers, dialect, keptConnections } = this.parts;
    let reusable = false;
    try {
      const now = timers.now();
      const encoded = dialect.stageCall(
        pieces.map(({ owner, piece }) => ({
          attemptId: owner.submission.attemptId,
          stage: owner.submission.stage,
          piece,
          leftMs: Math.max(1, Math.floor(owner.deadlineMs - now)),
          ...(owner.submission.inputs === undefined ? {} : { inputs: owner.submission.inputs }),
          ...(owner.submission.key === undefined ? {} : { key: owner.submission.key }),
        })),
        entry.id,
      );
      const { statusCode, headers, body } = await postCall(taken.connection, encoded, signal);
      const attributes = dialect.parseResponse(statusCode, headers);
      recordAvailability(this.parts.decisionLines, entry, standing, attributes);
      if (statusCode !== OK) {
        body.on("error", () => undefined);
        const { notRun } = attributes;
        return { kind: notRun ? "refused" : "lost" };
      }
      const answer: unknown = JSON.parse(await boundedText(body, MOST_ANSWER_BYTES));
      const results = dialect.parseStageResponse(answer, pieces.length);
      reusable = this.isOwnAnswer(taken.connection, results);
      return { kind: "results", results };
    } finally {
      keptConnections.done(entry.address, taken, reusable);
    }
  }

  /**
   * Whether the connection can be used again; throws `UpstreamFailed` if the answer is the copy of
   * an earlier one. Each result has a handle of its own, so a handle that was named before on the
   * connection shows a copy. An answer without all handles would leave its copy unrecognized.
   */
  private isOwnAnswer(connection: Connection, results: readonly PieceResult[]): boolean {
    const named = this.named.get(connection) ?? new Set<string>();
    this.named.set(connection, named);
    let whole = true;
    for (const result of results) {
      if (result.kind === "failed") whole = false;
      else if (named.has(result.handle)) {
        throw ServeError.create(ErrorKind.UpstreamFailed, "the answer belongs to another call");
      }
    }
    for (const result of results) if (result.kind === "made") named.add(result.handle);
    return whole && named.size < MOST_NAMED;
  }
}
