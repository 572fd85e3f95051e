import { Connection } from "../upstream/connection.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import type { Dialect, EncodedCall } from "./dialect.js";
import type { PieceResult } from "./piece-result.js";
import type { QueuedPiece } from "./queued-submission.js";
import type { StageCapacity } from "./service-definition.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamStandings } from "./upstream-standings.js";

/** Time within which an upstream accepts a connection; several round trips in a region. */
const CONNECT_MS = 250;
/** A call that takes this multiple of its expected time is taken as lost. */
const LOST_FACTOR = 2;
/** Added to it for the round trip and the transfer of inputs. */
const LOST_SLACK_MS = 250;
/** Releases that wait this long go out in one call; memory for results limits the calls. */
const RELEASE_DELAY_MS = 15;
const RELEASE_MS = 1_000;
const OK = 200;

/** How a stage call ended. */
export type CallAnswer =
  | { readonly kind: "results"; readonly results: readonly PieceResult[] }
  /** The upstream did not run the call. */
  | { readonly kind: "refused" }
  /** The upstream may have run the call, or still runs it. */
  | { readonly kind: "lost" };

interface Release {
  readonly handle: string;
  readonly released: (handle: string) => void;
}

interface Parts {
  readonly timers: Timers;
  readonly dialect: Dialect;
  readonly standings: UpstreamStandings;
  readonly decisionLines: DecisionLines;
}

/** Sends stage calls and releases, each on a connection of its own. */
export class StageCaller {
  /** Releases that wait, by address. */
  private readonly releases = new Map<string, Release[]>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StageCaller {
    return new StageCaller(parts);
  }

  /** Never throws; a failure is part of the answer. */
  async call(
    entry: UpstreamEntry,
    pieces: readonly QueuedPiece[],
    capacity: StageCapacity,
  ): Promise<CallAnswer> {
    const { timers, decisionLines, standings } = this.parts;
    const started = timers.now();
    const expectedMs = capacity.callMs + pieces.length * capacity.pieceMs;
    const late = new AbortController();
    const standing = standings.of(entry.id);
    const lostMs = LOST_FACTOR * Math.max(1, standing.ratio ?? 1) * expectedMs + LOST_SLACK_MS;
    const limit = timers.after(lostMs, () => {
      late.abort(new Error("no answer in time"));
    });
    let detail = "";
    let answer: CallAnswer;
    try {
      answer = await this.exchange(entry, pieces, late.signal);
      if (answer.kind === "results") standing.succeeded((timers.now() - started) / expectedMs);
    } catch (error) {
      detail = String(error);
      if (error instanceof ServeError && error.undispatched) {
        standing.unreachable();
        answer = { kind: "refused" };
      } else {
        if (late.signal.aborted) standing.late((timers.now() - started) / expectedMs);
        else {
          standing.failed();
          standing.unreachable();
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

  /**
   * Releases results soon and calls `released` for each one; a failure leaves them to expire at
   * their upstream.
   */
  release(handles: readonly string[], released: (handle: string) => void): void {
    for (const handle of handles) {
      const address = this.parts.dialect.handleAddress(handle);
      const waiting = this.releases.get(address);
      if (waiting !== undefined) {
        waiting.push({ handle, released });
        continue;
      }
      this.releases.set(address, [{ handle, released }]);
      this.parts.timers.after(RELEASE_DELAY_MS, () => void this.sendRelease(address));
    }
  }

  private async exchange(
    entry: UpstreamEntry,
    pieces: readonly QueuedPiece[],
    signal: AbortSignal,
  ): Promise<CallAnswer> {
    const { timers, dialect } = this.parts;
    const url = `http://${entry.address}`;
    const connection = await Connection.open(url, timers, signal, CONNECT_MS);
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
      const { statusCode, headers, body } = await post(connection, encoded, signal);
      if (statusCode !== OK) {
        body.on("error", () => undefined);
        const { notRun } = dialect.readAnswer(statusCode, headers);
        return { kind: notRun ? "refused" : "lost" };
      }
      return {
        kind: "results",
        results: dialect.readStageAnswer(await body.json(), pieces.length),
      };
    } finally {
      connection.destroy();
    }
  }

  private async sendRelease(address: string): Promise<void> {
    const { timers, dialect, decisionLines } = this.parts;
    const releases = this.releases.get(address) ?? [];
    const handles = releases.map(({ handle }) => handle);
    this.releases.delete(address);
    const late = new AbortController();
    const limit = timers.after(RELEASE_MS, () => {
      late.abort(new Error("no answer in time"));
    });
    let connection: Connection | undefined;
    try {
      connection = await Connection.open(`http://${address}`, timers, late.signal, CONNECT_MS);
      const { body } = await post(connection, dialect.releaseCall(handles), late.signal);
      await body.dump();
      for (const { handle, released } of releases) released(handle);
    } catch (error) {
      decisionLines.write("results not released", { address, detail: String(error) });
    } finally {
      limit.cancel();
      connection?.destroy();
    }
  }
}

function post(
  connection: Connection,
  call: EncodedCall,
  signal: AbortSignal,
): ReturnType<Connection["request"]> {
  const headers = [...call.headers];
  return connection.request({
    path: call.path,
    method: "POST",
    headers,
    body: call.body,
    reset: true,
    signal,
  });
}
