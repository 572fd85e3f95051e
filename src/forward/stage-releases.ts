import type { BufferBudget } from "../buffer/buffer-budget.js";
import type { Permit } from "../limit/permit.js";
import type { UpstreamPermits } from "../limit/upstream-permits.js";
import type { Timers } from "../time/timers.js";
import { readBoundedText } from "../upstream/read-bounded-text.js";
import type { DecisionLines } from "./decision-lines.js";
import type { Dialect } from "./dialect.js";
import type { ConnectionPools } from "./connection-pools.js";
import { postCall } from "./post-call.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";
import { SentKind, type UpstreamStatements } from "./upstream-statements.js";

/** Time for which releases are batched; short, as unreleased results limit the calls. */
const RELEASE_DELAY_MS = 15;
const RELEASE_TIMEOUT_MS = 1_000;
/** Only the status of the response to a release is used. */
const MAX_RESPONSE_BYTES = 65_536;
/** Wait for a permit; results that are not released expire at their upstream. */
const MAX_PERMIT_WAIT_MS = 2_000;
/** Releases come after all requests and stage calls. */
const RELEASE_RANK = Number.MAX_SAFE_INTEGER;
const OK = 200;

interface Release {
  readonly handle: string;
  readonly onReleased: (handle: string) => void;
}

interface ReleaseTarget {
  readonly address: string;
  /** Undefined if no upstream is listed at the address. */
  readonly entry: UpstreamEntry | undefined;
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
  readonly decisionLines: DecisionLines;
  readonly bufferBudget: BufferBudget;
}

/** Batches releases of results to the upstreams that keep them. */
export class StageReleases {
  /** Pending releases by upstream address. */
  private readonly waiting = new Map<string, Release[]>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StageReleases {
    return new StageReleases(parts);
  }

  /**
   * Releases results after a short delay and calls `onReleased` for each one. After a failure, the
   * results expire at their upstream.
   */
  release(handles: readonly string[], onReleased: (handle: string) => void): void {
    for (const handle of handles) {
      const address = this.parts.dialect.handleAddress(handle);
      const pending = this.waiting.get(address);
      if (pending !== undefined) {
        pending.push({ handle, onReleased });
        continue;
      }
      this.waiting.set(address, [{ handle, onReleased }]);
      this.parts.timers.after(RELEASE_DELAY_MS, () => void this.sendRelease(address));
    }
  }

  private async sendRelease(address: string): Promise<void> {
    const { timers, decisionLines, directory } = this.parts;
    const entry = directory.findByAddress(address);
    // More releases join while this one waits for a permit.
    const permit = entry === undefined ? undefined : await this.acquire(entry);
    const releases = this.waiting.get(address) ?? [];
    const handles = releases.map(({ handle }) => handle);
    this.waiting.delete(address);
    const timeout = new AbortController();
    const timer = timers.after(RELEASE_TIMEOUT_MS, () => {
      timeout.abort(new Error("release call exceeded its time limit"));
    });
    try {
      if (!(await this.releaseOn({ address, entry, permit }, handles, timeout.signal)))
        throw new Error("the upstream must not get it, or there is no permit for it");
      for (const { handle, onReleased } of releases) onReleased(handle);
    } catch (error) {
      decisionLines.write("results not released", { address, detail: String(error) });
    } finally {
      timer.cancel();
    }
  }

  /** Whether an upstream may get releases; one that is not listed may be in any data centre. */
  private isOpen(entry: UpstreamEntry | undefined): boolean {
    const { directory, upstreamHealth, upstreamStatements } = this.parts;
    if (entry === undefined) return !directory.hasEvacuations;
    return upstreamStatements.isOpen(entry, upstreamHealth.of(entry.id), SentKind.Release);
  }

  /** Undefined if no permit is needed or none was granted. */
  private async acquire(entry: UpstreamEntry): Promise<Permit | undefined> {
    const purpose = { rank: RELEASE_RANK, team: "", maxWaitMs: MAX_PERMIT_WAIT_MS };
    const outcome = await this.parts.upstreamPermits.acquire(entry, {
      ...purpose,
      attempt: undefined,
    });
    return outcome.kind === "granted" ? outcome.permit : undefined;
  }

  /**
   * Returns false if the release must not be sent. Releases are idempotent, so one is retried when
   * a reused connection fails.
   */
  private async releaseOn(
    { address, entry, permit }: ReleaseTarget,
    handles: readonly string[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const { dialect, connectionPools, upstreamHealth, upstreamStatements } = this.parts;
    const health = entry === undefined ? undefined : upstreamHealth.of(entry.id);
    if (!this.isOpen(entry)) return false;
    for (;;) {
      const acquired = await connectionPools.acquire(address, signal);
      let reusable = false;
      try {
        if (entry !== undefined && health !== undefined) {
          const maySend = upstreamStatements.trySend(entry, health, SentKind.Release, permit);
          reusable = !maySend;
          if (!maySend) return false;
        }
        const { statusCode, headers, body } = await postCall(
          acquired.connection,
          dialect.releaseCall(handles),
          signal,
        );
        if (entry !== undefined && health !== undefined)
          upstreamStatements.recordResponse(
            entry,
            health,
            dialect.parseResponse(statusCode, headers),
            permit,
          );
        await readBoundedText(body, MAX_RESPONSE_BYTES, this.parts.bufferBudget);
        reusable = statusCode === OK;
        return true;
      } catch (error) {
        if (!acquired.reused || signal.aborted) throw error;
        connectionPools.discardIdle(address);
      } finally {
        connectionPools.release(address, acquired, reusable);
      }
    }
  }
}
