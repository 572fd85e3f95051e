import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { AttemptState } from "../ledger/attempt-state.js";
import type { Timers } from "../time/timers.js";
import type { DispatchGuard } from "./dispatch-guard.js";

/** Whether a request was dispatched or abandoned; an abandoned request is never dispatched. */
export class RequestState implements DispatchGuard {
  private isAbandoned = false;
  private dispatches = 0;

  private constructor(
    private readonly timers: Timers,
    private readonly deadline: number,
  ) {}

  static create(timers: Timers, deadline: number): RequestState {
    return new RequestState(timers, deadline);
  }

  get dispatched(): boolean {
    return this.dispatches > 0;
  }

  get abandoned(): boolean {
    return this.isAbandoned;
  }

  /** State of the request for the ledger. */
  get attempt(): Exclude<AttemptState, AttemptState.Unknown> {
    if (this.isAbandoned) return AttemptState.Abandoned;
    return this.dispatched ? AttemptState.Dispatched : AttemptState.Waiting;
  }

  recordDispatch(): void {
    if (this.isAbandoned) {
      throw ServeError.create(ErrorKind.Cancelled, "the request was abandoned before dispatch");
    }
    if (this.timers.now() >= this.deadline) {
      throw ServeError.create(ErrorKind.DeadlineExceeded, "the deadline passed before dispatch");
    }
    this.dispatches += 1;
  }

  revertDispatch(): void {
    this.dispatches -= 1;
  }

  /** Prevents later dispatches; returns false, without effect, if a stage was dispatched. */
  abandon(): boolean {
    if (this.dispatched) return false;
    this.isAbandoned = true;
    return true;
  }
}
