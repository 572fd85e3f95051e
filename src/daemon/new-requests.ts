import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";

/** Whether this instance takes new requests of callers; once refused, they stay refused. */
export class NewRequests {
  private refused = false;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): NewRequests {
    return new NewRequests();
  }

  refuse(): void {
    this.refused = true;
  }

  /** Throws `Draining` with outcome `not-run` if new requests are refused. */
  check(): void {
    if (!this.refused) return;
    throw ServeError.create(ErrorKind.Draining, "the instance is shutting down");
  }
}
