import type { DecisionLines } from "../forward/decision-lines.js";
import type { Dialect } from "../forward/dialect.js";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { RandomSource } from "../random/random-source.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "../upstream/connection.js";
import { UnansweredRequests } from "./unanswered-requests.js";

/** Upstreams that fail one after the other, with no contact in between, before the others are tried. */
const SUSPICIOUS_FAILURES = 2;
/** Longer than sound upstreams that have requests are silent, all of them at the same time. */
const SILENCE_MS = 1_000;
const SILENCE_CHECK_MS = 250;
/** Upstreams tried at a time, so that a service that is gone for all does not look like a cut. */
const PROBED_UPSTREAMS = 5;
/** Upstreams tried at a time by an isolated instance; one that answers is enough. */
const REPROBED_UPSTREAMS = 2;
/** Several round trips in a region. */
const CONNECT_TIMEOUT_MS = 250;
/** An upstream answers at once, but may be busy. */
const ANSWER_TIMEOUT_MS = 500;
/** Between two probes of an isolated instance; a random half of it spreads the instances. */
const PROBE_INTERVAL_MS = 500;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly directory: Pick<UpstreamDirectory, "contactable">;
  readonly dialect: Pick<Dialect, "statusPath">;
  readonly decisionLines: DecisionLines;
}

/**
 * Whether this instance reaches any upstream at all. It is isolated when several upstreams in a row
 * could not be connected to, or none is heard while several have requests, and no upstream of a
 * sample answers a probe, until one does. Nothing is probed while upstreams answer.
 */
export class UpstreamReach {
  /** Upstreams that could not be reached since the last contact with any. */
  private readonly failed = new Set<string>();
  private readonly handlers = new Set<(isolated: boolean) => void>();
  private readonly unanswered: UnansweredRequests;
  private isolated = false;
  private probing = false;
  private stopped = false;
  private timer: Subscription | undefined;
  private silenceTimer: Subscription | undefined;

  private constructor(private readonly parts: Parts) {
    this.unanswered = UnansweredRequests.create(parts.timers);
  }

  static create(parts: Parts): UpstreamReach {
    return new UpstreamReach(parts);
  }

  get isIsolated(): boolean {
    return this.isolated;
  }

  /** Whether the last attempt to reach an upstream failed. */
  get isSuspect(): boolean {
    return this.isolated || this.failed.size > 0;
  }

  start(): void {
    this.silenceTimer = this.parts.timers.every(SILENCE_CHECK_MS, () => {
      this.checkSilence();
    });
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
    this.silenceTimer?.cancel();
  }

  /** Calls `handler` when the instance becomes isolated and when it no longer is. */
  subscribe(handler: (isolated: boolean) => void): void {
    this.handlers.add(handler);
  }

  /** Records a request that was sent to an upstream; call the returned function at its end. */
  recordRequest({ id }: Pick<UpstreamEntry, "id">): () => void {
    return this.unanswered.add(id);
  }

  /** Records that an upstream sent a part of a response. */
  recordReceived(): void {
    this.unanswered.recordReceived();
  }

  /** Records that an upstream answered on a new connection; old ones may outlive the links. */
  recordContact(): void {
    this.unanswered.recordReceived();
    if (this.failed.size > 0) this.failed.clear();
    this.setIsolated(false);
  }

  /** Records that an upstream could not be connected to. */
  recordFailure({ id }: Pick<UpstreamEntry, "id">): void {
    this.failed.add(id);
    const known = this.parts.directory.contactable.length;
    if (this.failed.size >= Math.min(SUSPICIOUS_FAILURES, known)) void this.probe();
  }

  private checkSilence(): void {
    if (this.isolated) return;
    const needed = Math.min(SUSPICIOUS_FAILURES, this.parts.directory.contactable.length);
    if (this.unanswered.silentUpstreams(SILENCE_MS) >= Math.max(1, needed)) void this.probe();
  }

  private async probe(): Promise<void> {
    if (this.probing || this.stopped) return;
    this.probing = true;
    const { timers, random, directory } = this.parts;
    const count = this.isolated ? REPROBED_UPSTREAMS : PROBED_UPSTREAMS;
    const entries = random.sample(directory.contactable, count);
    const reached = await Promise.all(entries.map((entry) => this.answers(entry)));
    this.probing = false;
    if (entries.length === 0 || reached.includes(true)) {
      this.recordContact();
      return;
    }
    this.setIsolated(true);
    const pauseMs = PROBE_INTERVAL_MS * (0.5 + random.fraction());
    this.timer?.cancel();
    this.timer = timers.after(pauseMs, () => void this.probe());
  }

  private async answers({ address }: UpstreamEntry): Promise<boolean> {
    const { timers, dialect } = this.parts;
    const timeout = new AbortController();
    const timer = timers.after(CONNECT_TIMEOUT_MS + ANSWER_TIMEOUT_MS, () => {
      timeout.abort();
    });
    const { signal } = timeout;
    let connection: Connection | undefined;
    try {
      connection = await Connection.open(`http://${address}`, timers, signal, CONNECT_TIMEOUT_MS);
      // A response of any status shows that the upstream is reached.
      const { body } = await connection.request({
        path: dialect.statusPath,
        method: "GET",
        signal,
      });
      body.on("error", () => undefined);
      return true;
    } catch {
      // Refused, reset, or silent.
      return false;
    } finally {
      timer.cancel();
      connection?.destroy();
    }
  }

  private setIsolated(isolated: boolean): void {
    if (isolated === this.isolated) return;
    this.isolated = isolated;
    const { failed } = this;
    this.parts.decisionLines.write(isolated ? "no upstream reachable" : "upstreams reachable", {
      failed: failed.size,
    });
    for (const handler of this.handlers) handler(isolated);
  }
}
