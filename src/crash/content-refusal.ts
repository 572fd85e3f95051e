import { ErrorKind } from "../error/error-kind.js";
import type { CrashRegistry } from "../forward/crash-registry.js";
import type { RequestContext } from "../forward/request-context.js";
import type { PromptGuard } from "./prompt-guard.js";

interface Parts {
  readonly crashRegistry: Pick<CrashRegistry, "isSuspected">;
  readonly promptGuard: Pick<PromptGuard, "isConvicted">;
}

/** Why a request may not run any more, although it was admitted; undefined if it may. */
export function contentRefusal(
  { crashRegistry, promptGuard }: Parts,
  { service, sharedParts, onTrial, digest }: RequestContext,
): ErrorKind.PartConvicted | ErrorKind.RequestSuspected | undefined {
  if (!onTrial && promptGuard.isConvicted(service, sharedParts)) return ErrorKind.PartConvicted;
  return crashRegistry.isSuspected(digest) ? ErrorKind.RequestSuspected : undefined;
}
