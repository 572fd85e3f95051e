import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Work } from "./work.js";

/** The error of work that has less time left, in ms, than its service takes. */
export function lateError({ stage }: Work, leftMs: number): ServeError {
  const kind = leftMs <= 0 ? ErrorKind.DeadlineExceeded : ErrorKind.DeadlineUnreachable;
  return ServeError.create(kind, `stage ${stage}: less time is left than the service takes`);
}

/** The error of work whose deadline passes while it waits. */
export function expiredError(): ServeError {
  return ServeError.create(ErrorKind.DeadlineExceeded, "the deadline passed in the queue");
}

/** The error of work that no upstream may run. */
export function noUpstreamError({ stage }: Work): ServeError {
  return ServeError.create(ErrorKind.NoUpstream, `stage ${stage}: no upstream may be used`);
}
