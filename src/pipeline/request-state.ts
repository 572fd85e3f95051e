import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { AttemptState } from "../ledger/attempt-state.js";
import type { Timers } from "../time/timers.js";
import type { DispatchGuard } from "./dispatch-guard.js";

/** Whether a request was dispatched or abandoned; it can only become one of them. */
export class RequestState implements DispatchGuard {
  private state: Exclude<AttemptState, AttemptState.Unknown> = AttemptState.Waiting;

  private constructor(
    private readonly timers: Timers,
    private readonly deadline: number,
  ) {}

  static create(timers: Timers, deadline: number): RequestState {
    return new RequestState(timers, deadline);
  }

  get dispatched(): boolean {
    return this.state === AttemptState.Dispatched;
  }

  get abandoned(): boolean {
    return this.state === AttemptState.Abandoned;
  }

  /** The state as the ledger names it. */
  get attempt(): AttemptState {
    return this.state;
  }

  beforeDispatch(): void {
    if (this.state === AttemptState.Abandoned) {
      throw ServeError.create(ErrorKind.Cancelled, "the request was abandoned before dispatch");
    }
    if (this.timers.now() >= this.deadline) {
      throw ServeError.create(ErrorKind.DeadlineExceeded, "the deadline passed before dispatch");
    }
    this.state = AttemptState.Dispatched;
  }

  /** Prevents any later dispatch; returns false if a stage was dispatched already. */
  abandon(): boolean {
    if (this.state === AttemptState.Dispatched) return false;
    this.state = AttemptState.Abandoned;
    return true;
  }
}
