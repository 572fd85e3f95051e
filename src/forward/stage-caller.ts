import { readBoundedText } from "../upstream/read-bounded-text.js";
import type { Connection } from "../upstream/connection.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import type { Dialect } from "./dialect.js";
import type { KeptConnections, AcquiredConnection } from "./kept-connections.js";
import { postCall } from "./post-call.js";
import type { PieceResult } from "./piece-result.js";
import type { QueuedPiece } from "./queued-submission.js";
import type { StageCapacity } from "./service-definition.js";
import { StageReleases } from "./stage-releases.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealth } from "./upstream-health.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";
import { recordAvailability } from "./upstream-availability.js";

/** Time limit of a call, as a multiple of its expected time. */
const CALL_TIMEOUT_FACTOR = 2;
/** Added to the time limit for the round trip and the transfer of inputs. */
const CALL_TIMEOUT_SLACK_MS = 250;
/** A reused connection that fails within this fraction of a call was dropped before the call. */
const MAX_DROP_FRACTION = 0.25;
/** Minimum of that time in ms, as a busy instance reads connection resets late. */
const MIN_DROP_WINDOW_MS = 50;
/** Larger than the answer to the largest call; reading stops at this size. */
const MAX_ANSWER_BYTES = 1_048_576;
/** Handles remembered per connection before it is replaced; bounds the memory for them. */
const MAX_SEEN_HANDLES = 4_096;
const OK = 200;

/** How a stage call ended. */
export type CallOutcome =
  | { readonly kind: "results"; readonly results: readonly PieceResult[] }
  /** The upstream did not run the call. */
  | { readonly kind: "refused" }
  /** The upstream may have run the call, or still runs it. */
  | { readonly kind: "lost" };

interface StageCall {
  readonly entry: UpstreamEntry;
  readonly pieces: readonly QueuedPiece[];
  /** Standing of the process that the call is sent to. */
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
  /** Handles in earlier answers on a connection. */
  private readonly seenHandles = new WeakMap<Connection, Set<string>>();

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
  ): Promise<CallOutcome> {
    const { timers, decisionLines, upstreamHealth } = this.parts;
    const started = timers.now();
    const expectedMs = capacity.callMs + pieces.length * capacity.pieceMs;
    const late = new AbortController();
    const standing = upstreamHealth.of(entry.id);
    const timeoutMs =
      CALL_TIMEOUT_FACTOR * Math.max(1, standing.latencyRatio ?? 1) * expectedMs +
      CALL_TIMEOUT_SLACK_MS;
    const limit = timers.after(timeoutMs, () => {
      late.abort(new Error("stage call timed out"));
    });
    let detail = "";
    let answer: CallOutcome;
    try {
      const droppedMs = Math.max(MIN_DROP_WINDOW_MS, MAX_DROP_FRACTION * capacity.callMs);
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
      pieces: pieces.map(({ parent, piece }) => `${parent.submission.attemptId}/${piece}`),
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

  /** Repeats a call on another connection if the reused one turns out to be dropped. */
  private async exchange(
    call: StageCall,
    dropWindowMs: number,
    signal: AbortSignal,
  ): Promise<CallOutcome> {
    const { timers, keptConnections } = this.parts;
    for (;;) {
      const taken = await keptConnections.acquire(call.entry.address, signal);
      const sentMs = timers.now();
      try {
        return await this.exchangeOn(taken, call, signal);
      } catch (error) {
        const dropped = taken.reused && taken.connection.closedByPeer && !signal.aborted;
        if (!dropped || timers.now() - sentMs > dropWindowMs) throw error;
        keptConnections.discardIdle(call.entry.address);
      }
    }
  }

  private async exchangeOn(
    taken: AcquiredConnection,
    { entry, pieces, standing }: StageCall,
    signal: AbortSignal,
  ): Promise<CallOutcome> {
    const { timers, dialect, keptConnections } = this.parts;
    let reusable = false;
    try {
      const now = timers.now();
      const encoded = dialect.stageCall(
        pieces.map(({ parent, piece }) => ({
          attemptId: parent.submission.attemptId,
          stage: parent.submission.stage,
          piece,
          leftMs: Math.max(1, Math.floor(parent.deadlineMs - now)),
          ...(parent.submission.inputs === undefined ? {} : { inputs: parent.submission.inputs }),
          ...(parent.submission.key === undefined ? {} : { key: parent.submission.key }),
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
      const answer: unknown = JSON.parse(await readBoundedText(body, MAX_ANSWER_BYTES));
      const results = dialect.parseStageResponse(answer, pieces.length);
      reusable = this.checkHandles(taken.connection, results);
      return { kind: "results", results };
    } finally {
      keptConnections.release(entry.address, taken, reusable);
    }
  }

  /**
   * Whether the connection can be used again; throws `UpstreamFailed` if the answer is the copy of
   * an earlier one. Handles are unique, so a handle that was seen before on the connection shows a
   * copy. A connection is not reused after an answer without all handles, as a copy of that answer
   * could not be recognized.
   */
  private checkHandles(connection: Connection, results: readonly PieceResult[]): boolean {
    const named = this.seenHandles.get(connection) ?? new Set<string>();
    this.seenHandles.set(connection, named);
    let whole = true;
    for (const result of results) {
      if (result.kind === "failed") whole = false;
      else if (named.has(result.handle)) {
        throw ServeError.create(
          ErrorKind.UpstreamFailed,
          "stage answer repeats a handle of an earlier call",
        );
      }
    }
    for (const result of results) if (result.kind === "made") named.add(result.handle);
    return whole && named.size < MAX_SEEN_HANDLES;
  }
}
