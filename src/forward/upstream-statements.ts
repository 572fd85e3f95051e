import type { BrittleUpstreams } from "../brittle/brittle-upstreams.js";
import type { LimitKnowledge } from "../limit/limit-knowledge.js";
import type { Permit } from "../limit/permit.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import type { ForwardMetrics } from "./forward-metrics.js";
import type { ResponseAttributes } from "./response-attributes.js";
import { recordAvailability } from "./upstream-availability.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
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
  readonly directory: Pick<UpstreamDirectory, "isServing" | "isEvacuated">;
  readonly limitKnowledge: Pick<LimitKnowledge, "recordResponse">;
  readonly brittleUpstreams: Pick<BrittleUpstreams, "recordResponse">;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: ForwardMetrics;
}

type Statements = Pick<
  ResponseAttributes,
  "misdirected" | "leaving" | "stayAwayMs" | "requestsPerSecond" | "toleratedRejections"
>;
type Upstream = Pick<UpstreamEntry, "id" | "service" | "address" | "startedMs">;

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
   * Whether an upstream may get something now. It may have left, restarted or asked for a pause
   * since it was selected.
   */
  isOpen(upstream: Upstream, health: UpstreamHealth, kind = SentKind.Request): boolean {
    switch (kind) {
      case SentKind.Request:
      case SentKind.StageCall:
        return !health.unavailable && this.parts.directory.isServing(upstream);
      case SentKind.Release:
        // Results in an evacuated data centre expire by themselves, and nothing may be sent there.
        if (this.parts.directory.isEvacuated(upstream.id)) return false;
        // A leaving upstream needs its memory until it ends.
        return !health.unavailable || health.availableInMs === Infinity;
    }
  }

  /**
   * Must be called just before anything is sent to an upstream; returns false if it must not be
   * sent, because the upstream is closed, or states a limit and there is no valid permit. Uses the
   * permit.
   */
  trySend(
    upstream: Upstream,
    health: UpstreamHealth,
    kind: SentKind,
    permit: Permit | undefined,
  ): boolean {
    const { id, service } = upstream;
    const { timers, decisionLines, forwardMetrics } = this.parts;
    if (!this.isOpen(upstream, health, kind)) {
      const evacuated = this.parts.directory.isEvacuated(id);
      if (evacuated) forwardMetrics.recordWithheld(service, kind);
      const fields = { upstream: id, service, kind, ...(evacuated ? { evacuated } : {}) };
      decisionLines.write("not sent to closed upstream", fields);
      return false;
    }
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
