import type { BrittleUpstreams } from "../brittle/brittle-upstreams.js";
import type { LimitKnowledge } from "../limit/limit-knowledge.js";
import type { Permit } from "../limit/permit.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import type { ForwardMetrics } from "./forward-metrics.js";
import type { ResponseAttributes } from "./response-attributes.js";
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
  readonly timers: Timers;
  readonly limitKnowledge: Pick<LimitKnowledge, "recordResponse">;
  readonly brittleUpstreams: Pick<BrittleUpstreams, "recordResponse">;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: ForwardMetrics;
}

type Statements = Pick<
  ResponseAttributes,
  "misdirected" | "leaving" | "stayAwayMs" | "requestsPerSecond" | "toleratedRejections"
>;
type Upstream = Pick<UpstreamEntry, "id" | "service" | "startedMs">;

/** Records what upstreams state in responses, and lets through what may be sent to them. */
export class UpstreamStatements {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): UpstreamStatements {
    return new UpstreamStatements(parts);
  }

  /**
   * Records the availability and limit in a response of the upstream process with this health.
   * `permit` is the one with which the request was sent.
   */
  recordResponse(
    upstream: Upstream,
    health: UpstreamHealth,
    attributes: Statements,
    permit: Permit | undefined,
  ): void {
    // Another process answers at the address.
    if (attributes.misdirected) return;
    const { decisionLines, limitKnowledge, brittleUpstreams } = this.parts;
    brittleUpstreams.recordResponse(upstream, attributes.toleratedRejections);
    recordAvailability(decisionLines, upstream, health, attributes);
    limitKnowledge.recordResponse(upstream.id, health, attributes.requestsPerSecond, permit);
  }

  /**
   * Must be called just before anything is sent to an upstream; returns false if it must not be
   * sent, because the upstream states a limit and there is no valid permit. Uses the permit.
   */
  trySend(
    { id, service }: Upstream,
    health: UpstreamHealth,
    kind: SentKind,
    permit: Permit | undefined,
  ): boolean {
    const { timers, decisionLines, forwardMetrics } = this.parts;
    const limit = health.statedLimit;
    if (limit === undefined) return true;
    if (permit?.tryUse() !== true) return false;
    forwardMetrics.recordSentUnderLimit(service, kind);
    decisionLines.write("sent under limit", {
      upstream: id,
      service,
      kind,
      perSecond: limit.perSecond,
      receiver: limit.receiver,
      ageMs: Math.round(timers.now() - limit.learntMs),
      owner: permit.grant.owner,
    });
    return true;
  }
}
