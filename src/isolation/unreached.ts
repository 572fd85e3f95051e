import { ErrorKind } from "../error/error-kind.js";
import { Outcome } from "../error/outcome.js";
import type { ServeError } from "../error/serve-error.js";

/** Whether a request failed without having run, as no upstream could be reached. */
export function isUnreached({ kind, outcome }: ServeError): boolean {
  return kind === ErrorKind.NoUpstream && outcome === Outcome.NotRun;
}
