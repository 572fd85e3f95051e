import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";

/** Other instances can take the request at once. */
const DRAINING_RETRY_MS = 50;

/** Why an instance must not get new requests. */
export enum UnreadyReason {
  Starting = "starting",
  ConfigurationNotCurrent = "configuration-not-current",
  Draining = "draining",
}

/** Whether this instance may get new requests; it starts as unready. */
export class Readiness {
  private readonly blocking = new Set<UnreadyReason>([UnreadyReason.Starting]);

  private refusing = false;
  /** Time at which this instance ends at the latest, on the monotonic clock in ms. */
  private endsMs = Infinity;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): Readiness {
    return new Readiness();
  }

  get ready(): boolean {
    return this.blocking.size === 0;
  }

  get reasons(): readonly UnreadyReason[] {
    return [...this.blocking];
  }

  /** From now on `admit` throws. */
  refuseRequests(): void {
    this.refusing = true;
  }

  /** Announces that this instance ends at a time, on the monotonic clock in ms. */
  announceEnd(endsMs: number): void {
    this.endsMs = endsMs;
  }

  /** Throws `Draining` if this instance may end before a request that may run once only. */
  admitRunOnce(deadlineMs: number): void {
    if (deadlineMs <= this.endsMs) return;
    throw ServeError.create(ErrorKind.Draining, "the instance may end before the request", {
      retryAfterMs: DRAINING_RETRY_MS,
    });
  }

  /** Throws `Draining` if no further request may be taken. */
  admit(): void {
    if (!this.refusing) return;
    throw ServeError.create(ErrorKind.Draining, "the instance is shutting down", {
      retryAfterMs: DRAINING_RETRY_MS,
    });
  }

  block(reason: UnreadyReason): void {
    this.blocking.add(reason);
  }

  clear(reason: UnreadyReason): void {
    this.blocking.delete(reason);
  }
}
