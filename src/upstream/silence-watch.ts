import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { QuietBound } from "./quiet-bound.js";
import { UpstreamCondition } from "./upstream-condition.js";

/** A call that must not be sent again waits this multiple of the bound for its answer. */
const PATIENCE = 4;

/** What a watch asks of the upstream's client. */
export interface SilenceParts {
  readonly timers: Timers;
  readonly bound: QuietBound;
  /** Finds the condition of the upstream over a fresh connection. */
  readonly probe: () => Promise<UpstreamCondition>;
  /** Told that a connection last heard at a time in ms is silent while the upstream answers. */
  readonly silent: (heardAt: number) => void;
}

/** How a call looked to the watch when it began. */
export interface WatchedCall {
  readonly idempotent: boolean;
  /** Whether the connection was fresh; its silence is then more likely to be slowness. */
  readonly fresh: boolean;
  /** Time in ms at which the connection was last heard. */
  readonly heardAt: number;
}

/** Checks the connection of one call whenever the call is quiet beyond the bound. */
export class SilenceWatch {
  private readonly failure = new AbortController();
  private subscription: Subscription | undefined;
  private ended = false;
  private longestMs = 0;
  private quietSince: number;
  private heardAt: number;

  private constructor(
    private readonly parts: SilenceParts,
    private readonly call: WatchedCall,
  ) {
    this.quietSince = parts.timers.now();
    this.heardAt = call.heardAt;
  }

  static create(parts: SilenceParts, call: WatchedCall): SilenceWatch {
    const watch = new SilenceWatch(parts, call);
    watch.wait();
    return watch;
  }

  /** Aborts with a `ServeError` once the connection or the upstream is found to be silent. */
  get signal(): AbortSignal {
    return this.failure.signal;
  }

  heard(): void {
    const now = this.parts.timers.now();
    this.longestMs = Math.max(this.longestMs, now - this.quietSince);
    this.quietSince = now;
    this.heardAt = now;
  }

  /** Ends the watch; the gaps of the call are recorded if anything was heard. */
  end(): void {
    if (!this.ended && this.longestMs > 0) this.parts.bound.record(this.longestMs);
    this.ended = true;
    this.subscription?.cancel();
  }

  private wait(): void {
    if (this.ended) return;
    const { timers, bound } = this.parts;
    const quietMs = timers.now() - this.quietSince;
    this.subscription = timers.after(Math.max(bound.ms - quietMs, 1), () => {
      if (timers.now() - this.quietSince >= bound.ms) void this.check();
      else this.wait();
    });
  }

  private async check(): Promise<void> {
    const since = this.quietSince;
    const condition = await this.parts.probe();
    if (this.ended) return;
    if (this.quietSince !== since) this.wait();
    else this.judge(condition);
  }

  private judge(condition: UpstreamCondition): void {
    switch (condition) {
      case UpstreamCondition.Refuses:
        this.fail(ErrorKind.UpstreamCrashed, "the upstream refuses connections");
        return;
      case UpstreamCondition.Silent:
        this.fail(ErrorKind.UpstreamFailed, "the upstream does not answer on a fresh connection");
        return;
      case UpstreamCondition.Answers:
        this.judgeConnection();
    }
  }

  private judgeConnection(): void {
    const { timers, bound, silent } = this.parts;
    const quietMs = timers.now() - this.quietSince;
    if (!this.call.idempotent && quietMs < PATIENCE * bound.ms) {
      const rest = PATIENCE * bound.ms - quietMs;
      this.subscription = timers.after(rest, () => void this.check());
      return;
    }
    if (this.call.fresh) bound.record(quietMs);
    else silent(this.heardAt);
    this.fail(ErrorKind.ConnectionSilent, `nothing was heard for ${Math.round(quietMs)} ms`);
  }

  private fail(kind: ErrorKind, detail: string): void {
    this.end();
    this.failure.abort(ServeError.create(kind, detail));
  }
}
