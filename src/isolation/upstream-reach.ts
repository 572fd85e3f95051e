import type { DecisionLines } from "../forward/decision-lines.js";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { RandomSource } from "../random/random-source.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "../upstream/connection.js";

/** Upstreams that fail one after the other, with no contact in between, before the others are tried. */
const SUSPICIOUS_FAILURES = 2;
/** Upstreams tried at a time, so that a service that is gone for all does not look like a cut. */
const PROBED_UPSTREAMS = 5;
/** Several round trips in a region. */
const PROBE_TIMEOUT_MS = 250;
/** Between two probes of an isolated instance; a random half of it spreads the instances. */
const PROBE_INTERVAL_MS = 500;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly directory: Pick<UpstreamDirectory, "ids" | "find">;
  readonly decisionLines: DecisionLines;
}

/**
 * Whether this instance reaches any upstream at all. It is isolated when connections to several
 * upstreams in a row failed and to a sample of all of them too, until one is accepted. Nothing is
 * probed while connections are accepted.
 */
export class UpstreamReach {
  /** Upstreams that could not be reached since the last contact with any. */
  private readonly failed = new Set<string>();
  private readonly handlers = new Set<(isolated: boolean) => void>();
  private isolated = false;
  private probing = false;
  private stopped = false;
  private timer: Subscription | undefined;

  private constructor(private readonly parts: Parts) {}

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

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  /** Calls `handler` when the instance becomes isolated and when it no longer is. */
  subscribe(handler: (isolated: boolean) => void): void {
    this.handlers.add(handler);
  }

  /** Records that an upstream accepted a new connection; old ones may live on while new ones fail. */
  recordContact(): void {
    if (this.failed.size > 0) this.failed.clear();
    this.setIsolated(false);
  }

  /** Records that an upstream could not be connected to. */
  recordFailure({ id }: Pick<UpstreamEntry, "id">): void {
    this.failed.add(id);
    const known = this.parts.directory.ids.length;
    if (this.failed.size >= Math.min(SUSPICIOUS_FAILURES, known)) void this.probe();
  }

  private async probe(): Promise<void> {
    if (this.probing || this.stopped) return;
    this.probing = true;
    const { timers, random, directory } = this.parts;
    const entries = random
      .sample([...directory.ids], PROBED_UPSTREAMS)
      .flatMap((id) => directory.find(id) ?? []);
    const reached = await Promise.all(entries.map((entry) => this.accepts(entry)));
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

  private async accepts({ address }: UpstreamEntry): Promise<boolean> {
    const { signal } = new AbortController();
    try {
      const url = `http://${address}`;
      const connection = await Connection.open(url, this.parts.timers, signal, PROBE_TIMEOUT_MS);
      connection.destroy();
      return true;
    } catch {
      // Refused, unreachable or not accepted in time.
      return false;
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
