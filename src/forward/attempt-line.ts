import type { AttemptOutcome } from "./attempt-outcome.js";
import type { RequestContext } from "./request-context.js";
import type { UpstreamEntry } from "./upstream-entry.js";

/** Times on the monotonic clock in ms, and the ID of the last event before the attempt. */
interface AttemptSpan {
  readonly startedMs: number;
  readonly endedMs: number;
  readonly after: string | undefined;
  /** Why it went to this engine, and the expected and actual time until the first event. */
  readonly placed: Readonly<Record<string, unknown>> | undefined;
}

/** Fields of the log line about an attempt. */
export function attemptLine(
  { attributes, service, deadlineMs, progress }: RequestContext,
  entry: UpstreamEntry,
  outcome: AttemptOutcome,
  { startedMs, endedMs, after, placed }: AttemptSpan,
): Readonly<Record<string, unknown>> {
  return {
    attempt: attributes.attemptId,
    upstream: entry.id,
    service,
    softwareVersion: entry.softwareVersion,
    leftMs: Math.round(deadlineMs - startedMs),
    promptTokens: attributes.promptParts.reduce((sum, { tokens }) => sum + tokens, 0),
    ms: Math.round(endedMs - startedMs),
    ...(after === undefined ? {} : { after }),
    ...placed,
    end: outcome.kind,
    ...("status" in outcome ? { status: outcome.status } : {}),
    ...("detail" in outcome ? { detail: outcome.detail } : {}),
    ...(outcome.kind === "broken"
      ? {
          phase: outcome.phase,
          events: progress.events,
          parts: attributes.promptParts.map(({ id }) => id).join(","),
        }
      : {}),
  };
}
