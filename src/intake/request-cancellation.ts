import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";

/** Ends the work for a request when its caller disconnects or its deadline passes. */
export class RequestCancellation {
  private readonly controller = new AbortController();
  private deadline: Subscription | undefined;
  private deadlineMs = Infinity;
  private readonly cancel = (): void => {
    this.controller.abort(ServeError.create(ErrorKind.Cancelled, "the caller disconnected"));
  };

  private constructor(
    private readonly timers: Timers,
    private readonly callerClosed: AbortSignal,
  ) {
    if (callerClosed.aborted) this.cancel();
    callerClosed.addEventListener("abort", this.cancel, { once: true });
  }

  /** `callerClosed` aborts when the caller closes the connection. */
  static create(timers: Timers, callerClosed: AbortSignal): RequestCancellation {
    return new RequestCancellation(timers, callerClosed);
  }

  /** Aborts with `Cancelled` or `DeadlineExceeded`. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Sets the deadline, on the monotonic clock in ms. */
  setDeadline(deadlineMs: number): void {
    if (deadlineMs === this.deadlineMs) return;
    this.deadlineMs = deadlineMs;
    this.deadline?.cancel();
    this.deadline = this.timers.after(Math.max(0, deadlineMs - this.timers.now()), () => {
      this.controller.abort(
        ServeError.create(ErrorKind.DeadlineExceeded, "the request deadline has passed"),
      );
    });
  }

  /** Must be called when the request has ended. */
  end(): void {
    this.deadline?.cancel();
    this.callerClosed.removeEventListener("abort", this.cancel);
  }
}
