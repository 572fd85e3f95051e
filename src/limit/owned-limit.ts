import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { KnownLimit } from "./limit-messages.js";
import { PermitQueue } from "./permit-queue.js";

/** While a limit that has ended opens, its rate doubles this often, once a second. */
const OPENING_STEPS = 4;
const OPENING_STEP_MS = 1_000;
const OPENING_FACTOR = 2;

/** Whether the upstream states the limit. */
enum LimitPhase {
  Stated = "stated",
  /** The upstream states it no more; the rate is raised step by step. */
  Opening = "opening",
  /** No permits are needed. */
  Ended = "ended",
}

/** The limit of one upstream process at its owner. */
export class OwnedLimit {
  readonly queue: PermitQueue;
  private phase = LimitPhase.Stated;
  /** Time of the last statement that changed the limit, on the monotonic clock in ms. */
  private changedMs: number;
  private steps = 0;
  private opening: Subscription | undefined;

  private constructor(
    private readonly timers: Timers,
    readonly process: Pick<KnownLimit, "upstream" | "startedMs">,
    private statement: Pick<KnownLimit, "receiver"> & { readonly perSecond: number },
    private readonly fraction: () => number,
    private readonly onEnded: () => void,
  ) {
    this.changedMs = timers.now();
    this.queue = PermitQueue.create(timers, () => this.rate);
  }

  /** `fraction` is the part of the limit that this instance may grant now. */
  static create(
    timers: Timers,
    limit: Pick<KnownLimit, "upstream" | "startedMs" | "receiver"> & { readonly perSecond: number },
    fraction: () => number,
    onEnded: () => void,
  ): OwnedLimit {
    const { upstream, startedMs, perSecond, receiver } = limit;
    return new OwnedLimit(
      timers,
      { upstream, startedMs },
      { perSecond, receiver },
      fraction,
      onEnded,
    );
  }

  /** Whether permits are no longer needed. */
  hasEnded(): boolean {
    return this.phase === LimitPhase.Ended;
  }

  /** The limit as others should know it. */
  get known(): Pick<KnownLimit, "upstream" | "startedMs" | "perSecond" | "receiver"> {
    const { perSecond, receiver } = this.statement;
    return { ...this.process, receiver, perSecond: this.hasEnded() ? null : perSecond };
  }

  /**
   * Records a statement; `grantedMs` is the time of the grant with which its request was sent, if
   * there was one. A lower limit applies at once. A higher one, or none, counts only from a request
   * that was sent after the present limit was stated: responses overtake each other. Returns
   * whether the limit has changed.
   */
  record(perSecond: number | null, receiver: string, grantedMs: number | undefined): boolean {
    const stated = this.phase === LimitPhase.Stated;
    const lower = perSecond !== null && (!stated || perSecond < this.statement.perSecond);
    const newer = grantedMs !== undefined && grantedMs > this.changedMs;
    if (!lower && !newer) return false;
    if (perSecond === null) {
      if (stated) this.open();
      return false;
    }
    const changed = !stated || perSecond !== this.statement.perSecond;
    if (!changed) return false;
    this.opening?.cancel();
    this.phase = LimitPhase.Stated;
    this.steps = 0;
    this.statement = { perSecond, receiver };
    this.changedMs = this.timers.now();
    this.queue.applyRate();
    return true;
  }

  /** Stops the timers; what waits is refused. */
  close(availableInMs: number): void {
    this.opening?.cancel();
    this.queue.refuseAll(availableInMs);
  }

  private get rate(): number | undefined {
    const fraction = this.fraction();
    if (fraction === 0) return undefined;
    return this.statement.perSecond * OPENING_FACTOR ** this.steps * fraction;
  }

  /** Raises the rate in steps, so that the instances do not all return at the same moment. */
  private open(): void {
    this.phase = LimitPhase.Opening;
    this.raise();
    this.opening = this.timers.every(OPENING_STEP_MS, () => {
      this.raise();
    });
  }

  private raise(): void {
    if (this.steps < OPENING_STEPS) {
      this.steps += 1;
      this.queue.applyRate();
      return;
    }
    this.opening?.cancel();
    this.phase = LimitPhase.Ended;
    this.queue.refuseAll(0);
    this.onEnded();
  }
}
