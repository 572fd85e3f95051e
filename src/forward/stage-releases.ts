import type { Timers } from "../time/timers.js";
import { readBoundedText } from "../upstream/read-bounded-text.js";
import type { DecisionLines } from "./decision-lines.js";
import type { Dialect } from "./dialect.js";
import type { KeptConnections } from "./kept-connections.js";
import { postCall } from "./post-call.js";

/** Releases that wait this long go out in one call; memory for results limits the calls. */
const RELEASE_DELAY_MS = 15;
const RELEASE_MS = 1_000;
/** The answer to a release says nothing but its status. */
const MOST_ANSWER_BYTES = 65_536;
const OK = 200;

interface Release {
  readonly handle: string;
  readonly released: (handle: string) => void;
}

interface Parts {
  readonly timers: Timers;
  readonly dialect: Dialect;
  readonly keptConnections: KeptConnections;
  readonly decisionLines: DecisionLines;
}

/** Frees the memory of results at the upstreams that made them. */
export class StageReleases {
  /** Releases that wait, by address. */
  private readonly waiting = new Map<string, Release[]>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StageReleases {
    return new StageReleases(parts);
  }

  /**
   * Releases results soon and calls `released` for each one; a failure leaves them to expire at
   * their upstream.
   */
  release(handles: readonly string[], released: (handle: string) => void): void {
    for (const handle of handles) {
      const address = this.parts.dialect.handleAddress(handle);
      const waiting = this.waiting.get(address);
      if (waiting !== undefined) {
        waiting.push({ handle, released });
        continue;
      }
      this.waiting.set(address, [{ handle, released }]);
      this.parts.timers.after(RELEASE_DELAY_MS, () => void this.sendRelease(address));
    }
  }

  private async sendRelease(address: string): Promise<void> {
    const { timers, decisionLines } = this.parts;
    const releases = this.waiting.get(address) ?? [];
    const handles = releases.map(({ handle }) => handle);
    this.waiting.delete(address);
    const late = new AbortController();
    const limit = timers.after(RELEASE_MS, () => {
      late.abort(new Error("no answer in time"));
    });
    try {
      await this.releaseOn(address, handles, late.signal);
      for (const { handle, released } of releases) released(handle);
    } catch (error) {
      decisionLines.write("results not released", { address, detail: String(error) });
    } finally {
      limit.cancel();
    }
  }

  /** A release has the same effect twice, so it is made again when a kept connection fails. */
  private async releaseOn(
    address: string,
    handles: readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    const { dialect, keptConnections } = this.parts;
    for (;;) {
      const taken = await keptConnections.take(address, signal);
      let reusable = false;
      try {
        const { statusCode, body } = await postCall(
          taken.connection,
          dialect.releaseCall(handles),
          signal,
        );
        await readBoundedText(body, MOST_ANSWER_BYTES);
        reusable = statusCode === OK;
        return;
      } catch (error) {
        if (!taken.kept || signal.aborted) throw error;
        keptConnections.distrust(address);
      } finally {
        keptConnections.done(address, taken, reusable);
      }
    }
  }
}
