import type { RequestContext } from "./request-context.js";
import { isRepeatable } from "./route.js";
import { silenceTimeoutMs } from "./silence-timeout.js";

/** Whether a request may be sent again after `runCount` attempts that may have run. */
export function canRetry({ route, writer, progress }: RequestContext, runCount: number): boolean {
  if (!isRepeatable(route) || runCount >= route.maxAttempts) return false;
  // A started stream can only be resumed after an event with an ID.
  return !writer.started || progress.events === 0 || progress.lastEventId !== undefined;
}

/** Time without progress after which the next attempt ends, in ms; undefined if it is the last. */
export function attemptSilenceMs(
  { route, targetMs, request }: RequestContext,
  runCount: number,
): number | undefined {
  if (!isRepeatable(route) || runCount + 1 >= route.maxAttempts) return undefined;
  return silenceTimeoutMs(route, targetMs - request.arrivedMs);
}
