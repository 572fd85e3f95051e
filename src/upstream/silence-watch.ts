import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { SilenceThreshold } from "./silence-threshold.js";
import { UpstreamCondition } from "./upstream-condition.js";

/** A call that must not be sent again waits this multiple of the threshold for its answer. */
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
  /** Whether the connection was fresh; its silence is then more likely to be slowness. */
  readonly fresh: boolean;
  /** Time in ms at which the connection last received data. */
  readonly lastReceivedAt: number;
}

/** Checks the connection of one call whenever nothing is received for the silence threshold. */
export class SilenceWatch {
  private readonly failure = new AbortController();
  private subscription: Subscription | undefined;
  private ended = false;
  private longestGapMs = 0;
  private quietSince: number;
  private lastReceivedAt: number;

  private constructor(
    private readonly parts: SilenceParts,
    private readonly call: WatchedCall,
  ) {
    this.quietSince = parts.timers.now();
    this.lastReceivedAt = call.lastReceivedAt;
  }

  static create(parts: SilenceParts, call: WatchedCall): SilenceWatch {
    const watch = new SilenceWatch(parts, call);
    watch.scheduleCheck();
    return watch;
  }

  /** Aborts with a `ServeError` once the connection or the upstream is found to be silent. */
  get signal(): AbortSignal {
    return this.failure.signal;
  }

  recordActivity(): void {
    const now = this.parts.timers.now();
    this.longestGapMs = Math.max(this.longestGapMs, now - this.quietSince);
    this.quietSince = now;
    this.lastReceivedAt = now;
  }

  /** Ends the watch; the gaps of the call are recorded if anything was received. */
  end(): void {
    if (!this.ended && this.longestGapMs > 0) this.parts.threshold.recordGap(this.longestGapMs);
    this.ended = true;
    this.subscription?.cancel();
  }

  private scheduleCheck(): void {
    if (this.ended) return;
    const { timers, threshold } = this.parts;
    const quietMs = timers.now() - this.quietSince;
    this.subscription = timers.after(Math.max(threshold.ms - quietMs, 1), () => {
      if (timers.now() - this.quietSince >= threshold.ms) void this.check();
      else this.scheduleCheck();
    });
  }

  private async check(): Promise<void> {
    const since = this.quietSince;
    const condition = await this.parts.probe();
    if (this.ended) return;
    if (this.quietSince !== since) this.scheduleCheck();
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
    const quietMs = timers.now() - this.quietSince;
    if (!this.call.idempotent && quietMs < NON_IDEMPOTENT_MULTIPLE * threshold.ms) {
      const rest = NON_IDEMPOTENT_MULTIPLE * threshold.ms - quietMs;
      this.subscription = timers.after(rest, () => void this.check());
      return;
    }
    if (this.call.fresh) threshold.recordGap(quietMs);
    else onSilentConnection(this.lastReceivedAt);
    this.fail(
      ErrorKind.ConnectionSilent,
      `nothing was received on the connection for ${Math.round(quietMs)} ms`,
    );
  }

  private fail(kind: ErrorKind, detail: string): void {
    this.end();
    this.failure.abort(ServeError.create(kind, detail));
  }
}
