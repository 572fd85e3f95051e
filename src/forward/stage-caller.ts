import type { BufferBudget } from "../buffer/buffer-budget.js";
import type { UpstreamReach } from "../isolation/upstream-reach.js";
import { readBoundedText } from "../upstream/read-bounded-text.js";
import type { Connection } from "../upstream/connection.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Permit } from "../limit/permit.js";
import type { UpstreamPermits } from "../limit/upstream-permits.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import type { Dialect } from "./dialect.js";
import type { ConnectionPools, AcquiredConnection } from "./connection-pools.js";
import { postCall } from "./post-call.js";
import type { PieceResult } from "./piece-result.js";
import type { QueuedPiece } from "./queued-submission.js";
import type { StageCapacity } from "./service-definition.js";
import { StageReleases } from "./stage-releases.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealth } from "./upstream-health.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";
import { SentKind, type UpstreamStatements } from "./upstream-statements.js";

/** Time limit of a call, as a multiple of its expected time. */
const CALL_TIMEOUT_FACTOR = 2;
/** Part of the time limit for the round trip and the transfer of inputs. */
const CALL_TIMEOUT_SLACK_MS = 250;
/** A reused connection closed within this fraction of a call was closed before the call ran. */
const DROP_WINDOW_FRACTION = 0.25;
/** Lower bound of that time; a busy instance reads connection resets late. */
const MIN_DROP_WINDOW_MS = 50;
/** Larger than the response to the largest call; reading stops at this size. */
const MAX_RESPONSE_BYTES = 1_048_576;
/** A connection is replaced after this many handles, which bounds the memory for them. */
const MAX_SEEN_HANDLES = 4_096;
const OK = 200;

/** Outcome of a stage call. */
export type CallOutcome =
  | { readonly kind: "results"; readonly results: readonly PieceResult[] }
  /** The upstream did not run the call, or it was not sent for want of a permit. */
  | { readonly kind: "refused" }
  /** The upstream may have run the call, or still runs it. */
  | { readonly kind: "lost" };

interface StageCall {
  readonly entry: UpstreamEntry;
  readonly pieces: readonly QueuedPiece[];
  /** Health of the upstream process that the call is sent to. */
  readonly health: UpstreamHealth;
  /** Undefined if the upstream states no limit. */
  readonly permit: Permit | undefined;
}

interface Parts {
  readonly timers: Timers;
  readonly dialect: Dialect;
  readonly connectionPools: ConnectionPools;
  readonly directory: UpstreamDirectory;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly upstreamStatements: UpstreamStatements;
  readonly upstreamPermits: UpstreamPermits;
  readonly upstreamReach: Pick<UpstreamReach, "recordFailure" | "recordReceived">;
  readonly decisionLines: DecisionLines;
  readonly bufferBudget: BufferBudget;
}

/** Sends stage calls and releases of results to upstreams. */
export class StageCaller {
  private readonly releases: StageReleases;
  /** Handles in earlier responses on a connection. */
  private readonly seenHandles = new WeakMap<Connection, Set<string>>();

  private constructor(private readonly parts: Parts) {
    this.releases = StageReleases.create(parts);
  }

  static create(parts: Parts): StageCaller {
    return new StageCaller(parts);
  }

  /** Does not reject; failures are part of the outcome. */
  async call(
    entry: UpstreamEntry,
    pieces: readonly QueuedPiece[],
    capacity: StageCapacity,
    permit: Permit | undefined,
  ): Promise<CallOutcome> {
    const { timers, decisionLines, upstreamHealth, upstreamReach } = this.parts;
    const startedAtMs = timers.now();
    const expectedMs = capacity.baseCallMs + pieces.length * capacity.pieceMs;
    const timeout = new AbortController();
    const health = upstreamHealth.of(entry.id);
    const timeoutMs =
      CALL_TIMEOUT_FACTOR * Math.max(1, health.latencyRatio ?? 1) * expectedMs +
      CALL_TIMEOUT_SLACK_MS;
    const timer = timers.after(timeoutMs, () => {
      timeout.abort(new Error("stage call exceeded its time limit"));
    });
    let detail = "";
    let answer: CallOutcome;
    try {
      const dropWindowMs = Math.max(MIN_DROP_WINDOW_MS, DROP_WINDOW_FRACTION * capacity.baseCallMs);
      answer = await this.exchange({ entry, pieces, health, permit }, dropWindowMs, timeout.signal);
      upstreamReach.recordReceived();
      if (answer.kind === "results")
        health.recordSuccess((timers.now() - startedAtMs) / expectedMs);
    } catch (error) {
      detail = String(error);
      if (error instanceof ServeError && error.undispatched) {
        health.recordUnreachable();
        upstreamReach.recordFailure(entry);
        answer = { kind: "refused" };
      } else {
        if (timeout.signal.aborted) health.recordSlow((timers.now() - startedAtMs) / expectedMs);
        else {
          health.recordFailure();
          health.recordUnreachable();
        }
        answer = { kind: "lost" };
      }
    } finally {
      timer.cancel();
    }
    decisionLines.write("stage call", {
      upstream: entry.id,
      pieces: pieces.map(({ parent, piece }) => `${parent.submission.attemptId}/${piece}`),
      ms: Math.round(timers.now() - startedAtMs),
      outcome: answer.kind,
      ...(detail === "" ? {} : { detail }),
    });
    return answer;
  }

  /** See `StageReleases.release`. */
  release(handles: readonly string[], onReleased: (handle: string) => void): void {
    this.releases.release(handles, onReleased);
  }

  /** Repeats a call on another connection if the upstream had closed the reused one before it. */
  private async exchange(
    call: StageCall,
    dropWindowMs: number,
    signal: AbortSignal,
  ): Promise<CallOutcome> {
    const { timers, connectionPools } = this.parts;
    for (;;) {
      const acquired = await connectionPools.acquire(call.entry.address, signal);
      const sentAtMs = timers.now();
      try {
        return await this.exchangeOn(acquired, call, signal);
      } catch (error) {
        const dropped = acquired.reused && acquired.connection.closedByPeer && !signal.aborted;
        if (!dropped || timers.now() - sentAtMs > dropWindowMs) throw error;
        connectionPools.discardIdle(call.entry.address);
      }
    }
  }

  private async exchangeOn(
    acquired: AcquiredConnection,
    { entry, pieces, health, permit }: StageCall,
    signal: AbortSignal,
  ): Promise<CallOutcome> {
    const { timers, dialect, connectionPools, upstreamStatements, bufferBudget } = this.parts;
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
      if (!upstreamStatements.trySend(entry, health, SentKind.StageCall, permit)) {
        reusable = true;
        return { kind: "refused" };
      }
      const { statusCode, headers, body } = await postCall(acquired.connection, encoded, signal);
      const attributes = dialect.parseResponse(statusCode, headers);
      upstreamStatements.recordResponse(entry, health, attributes, permit);
      if (statusCode !== OK) {
        body.on("error", () => undefined);
        const { notRun } = attributes;
        return { kind: notRun ? "refused" : "lost" };
      }
      const text = await readBoundedText(body, MAX_RESPONSE_BYTES, bufferBudget);
      const results = dialect.parseStageResponse(JSON.parse(text), pieces.length);
      reusable = this.checkHandles(acquired.connection, results);
      return { kind: "results", results };
    } finally {
      connectionPools.release(entry.address, acquired, reusable);
    }
  }

  /**
   * Returns whether the connection can be reused; throws `UpstreamFailed` if the response is a copy
   * of an earlier one. Handles are unique, so a handle seen before on the connection shows a copy.
   * The connection is not reused after a response in which a piece failed and has no handle, as a
   * copy of that response might not be detected.
   */
  private checkHandles(connection: Connection, results: readonly PieceResult[]): boolean {
    const seen = this.seenHandles.get(connection) ?? new Set<string>();
    this.seenHandles.set(connection, seen);
    let complete = true;
    for (const result of results) {
      if (result.kind === "failed") complete = false;
      else if (seen.has(result.handle)) {
        throw ServeError.create(
          ErrorKind.UpstreamFailed,
          "stage response repeats a handle of an earlier call on the connection",
        );
      }
    }
    for (const result of results) if (result.kind === "made") seen.add(result.handle);
    return complete && seen.size < MAX_SEEN_HANDLES;
  }
}
