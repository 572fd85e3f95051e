import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { SilenceThreshold } from "./silence-threshold.js";
import { UpstreamCondition } from "./upstream-condition.js";

/** A call that must not be sent twice waits this multiple of the threshold for its answer. */
const NON_IDEMPOTENT_MULTIPLE = 4;

/** Dependencies of a watch. */
export interface SilenceParts {
  readonly timers: Timers;
  readonly threshold: SilenceThreshold;
  /** Checks the upstream over a fresh connection. */
  readonly probe: () => Promise<UpstreamCondition>;
  /** Called with the last receive time of a connection that is silent while the upstream answers. */
  readonly onSilentConnection: (lastReceivedAt: number) => void;
}

/** State of a call at the start of its watch. */
export interface WatchedCall {
  readonly idempotent: boolean;
  /** Whether the connection was fresh; silence is then more likely to mean a slow upstream. */
  readonly fresh: boolean;
  /** Time in ms at which the connection last received data. */
  readonly lastReceivedAt: number;
}

/** Probes the upstream of a call whenever nothing is received for the silence threshold. */
export class SilenceWatch {
  private readonly failure = new AbortController();
  private subscription: Subscription | undefined;
  private ended = false;
  private longestGapMs = 0;
  private silentSince: number;
  private lastReceivedAt: number;

  private constructor(
    private readonly parts: SilenceParts,
    private readonly call: WatchedCall,
  ) {
    this.silentSince = parts.timers.now();
    this.lastReceivedAt = call.lastReceivedAt;
  }

  static create(parts: SilenceParts, call: WatchedCall): SilenceWatch {
    const watch = new SilenceWatch(parts, call);
    watch.scheduleCheck();
    return watch;
  }

  /** Aborts with a `ServeError` once the connection is silent or the upstream does not answer. */
  get signal(): AbortSignal {
    return this.failure.signal;
  }

  recordActivity(): void {
    const now = this.parts.timers.now();
    this.longestGapMs = Math.max(this.longestGapMs, now - this.silentSince);
    this.silentSince = now;
    this.lastReceivedAt = now;
  }

  /** Ends the watch; its longest gap is recorded if anything was received. */
  end(): void {
    if (!this.ended && this.longestGapMs > 0) this.parts.threshold.recordGap(this.longestGapMs);
    this.ended = true;
    this.subscription?.cancel();
  }

  private scheduleCheck(): void {
    if (this.ended) return;
    const { timers, threshold } = this.parts;
    const silentMs = timers.now() - this.silentSince;
    this.subscription = timers.after(Math.max(threshold.ms - silentMs, 1), () => {
      if (timers.now() - this.silentSince >= threshold.ms) void this.check();
      else this.scheduleCheck();
    });
  }

  private async check(): Promise<void> {
    const since = this.silentSince;
    const condition = await this.parts.probe();
    if (this.ended) return;
    if (this.silentSince !== since) this.scheduleCheck();
    else this.handleCondition(condition);
  }

  private handleCondition(condition: UpstreamCondition): void {
    switch (condition) {
      case UpstreamCondition.Refuses:
        this.fail(ErrorKind.UpstreamCrashed, "the upstream refuses connections");
        return;
      case UpstreamCondition.Silent:
        this.fail(ErrorKind.UpstreamFailed, "the upstream does not answer on a fresh connection");
        return;
      case UpstreamCondition.Answers:
        this.handleSilentConnection();
    }
  }

  private handleSilentConnection(): void {
    const { timers, threshold, onSilentConnection } = this.parts;
    const silentMs = timers.now() - this.silentSince;
    if (!this.call.idempotent && silentMs < NON_IDEMPOTENT_MULTIPLE * threshold.ms) {
      const remainingMs = NON_IDEMPOTENT_MULTIPLE * threshold.ms - silentMs;
      this.subscription = timers.after(remainingMs, () => void this.check());
      return;
    }
    if (this.call.fresh) threshold.recordGap(silentMs);
    else onSilentConnection(this.lastReceivedAt);
    this.fail(
      ErrorKind.ConnectionSilent,
      `nothing was received on the connection for ${Math.round(silentMs)} ms`,
    );
  }

  private fail(kind: ErrorKind, detail: string): void {
    this.end();
    this.failure.abort(ServeError.create(kind, detail));
  }
}
