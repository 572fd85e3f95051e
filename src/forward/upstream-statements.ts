import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import type { ForwardMetrics } from "./forward-metrics.js";
import type { ResponseAttributes } from "./response-attributes.js";
import type { StatedLimit } from "./stated-limit.js";
import { recordAvailability } from "./upstream-availability.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealth } from "./upstream-health.js";

/** What an instance sends to an upstream. */
export enum SentKind {
  Request = "request",
  StageCall = "stage-call",
  Release = "release",
}

interface Parts {
  readonly self: string;
  readonly timers: Timers;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: ForwardMetrics;
}

type Statements = Pick<ResponseAttributes, "leaving" | "stayAwayMs" | "requestsPerSecond">;
type Upstream = Pick<UpstreamEntry, "id" | "service">;

/** Records what upstreams state in responses, and what is sent to those that state a limit. */
export class UpstreamStatements {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): UpstreamStatements {
    return new UpstreamStatements(parts);
  }

  /** Records the availability and limit in a response of the upstream process with this health. */
  recordResponse(upstream: Upstream, health: UpstreamHealth, attributes: Statements): void {
    recordAvailability(this.parts.decisionLines, upstream, health, attributes);
    this.recordLimit(upstream, health, attributes.requestsPerSecond);
  }

  private recordLimit(
    { id, service }: Upstream,
    health: UpstreamHealth,
    requestsPerSecond: number | undefined,
  ): void {
    const { self, timers, decisionLines } = this.parts;
    const previous = health.statedLimit;
    const stated: StatedLimit | undefined =
      requestsPerSecond === undefined
        ? undefined
        : { perSecond: requestsPerSecond, receiver: self, learntMs: timers.now() };
    health.statedLimit = stated;
    if (stated?.perSecond === previous?.perSecond) return;
    decisionLines.write("upstream limit", {
      upstream: id,
      service,
      perSecond: stated?.perSecond ?? null,
      previous: previous?.perSecond ?? null,
      receiver: self,
    });
  }

  /** Logs and counts what is sent to an upstream while it states a limit. */
  recordSent({ id, service }: Upstream, health: UpstreamHealth, kind: SentKind): void {
    const { timers, decisionLines, forwardMetrics } = this.parts;
    const limit = health.statedLimit;
    if (limit === undefined) return;
    forwardMetrics.recordSentUnderLimit(service, kind);
    decisionLines.write("sent under limit", {
      upstream: id,
      service,
      kind,
      perSecond: limit.perSecond,
      receiver: limit.receiver,
      ageMs: Math.round(timers.now() - limit.learntMs),
    });
  }
}
