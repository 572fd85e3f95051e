import type { DecisionLines } from "../forward/decision-lines.js";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";
import type { UpstreamHealth } from "../forward/upstream-health.js";
import type { UpstreamHealthRegistry } from "../forward/upstream-health-registry.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import type { Updates } from "../peer/updates.js";
import type { Timers } from "../time/timers.js";
import type { LimitGrants } from "./limit-grants.js";
import { type KnownLimit, type LimitReport, knownLimitsSchema } from "./limit-messages.js";
import type { LimitOwners } from "./limit-owners.js";
import type { Permit } from "./permit.js";

const REPORT_TIMEOUT_MS = 500;

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly updates: Updates;
  readonly directory: UpstreamDirectory;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly limitOwners: LimitOwners;
  readonly limitGrants: LimitGrants;
  readonly decisionLines: DecisionLines;
}

/** What this instance knows of the limits of upstreams: from responses, and from their owners. */
export class LimitKnowledge {
  /** Sequence of the newest message by process of an upstream and owner. */
  private readonly sequences = new WeakMap<UpstreamHealth, Map<string, number>>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): LimitKnowledge {
    return new LimitKnowledge(parts);
  }

  /** Registers for the limits that other instances tell, and as an owner of limits. */
  start(): void {
    const { updates, limitGrants, peerMethods } = this.parts;
    updates.subscribe((update) => {
      if (update.kind === "upstream-limits") this.apply(update.limits);
    });
    limitGrants.onPublished((limits) => {
      this.apply(limits);
    });
    peerMethods.register(PeerMethod.LimitsKnown, (params) => {
      this.apply(knownLimitsSchema.parse(params).limits);
      return Promise.resolve(true);
    });
    limitGrants.start();
  }

  /**
   * Records the limit that a response states. `permit` is the one with which its request was sent.
   * A higher limit, or none, comes into force only when the owner tells it.
   */
  recordResponse(
    upstream: string,
    health: UpstreamHealth,
    perSecond: number | undefined,
    permit: Permit | undefined,
  ): void {
    const known = health.statedLimit;
    const lower = perSecond !== undefined && perSecond < (known?.perSecond ?? Infinity);
    if (lower) this.set(upstream, health, perSecond, this.parts.self);
    if (perSecond === health.statedLimit?.perSecond) {
      if (health.statedLimit?.reported !== false) return;
    } else if (permit === undefined) return;
    const { self } = this.parts;
    const { startedMs } = health;
    void this.report(health, {
      ...{ upstream, startedMs, receiver: self, perSecond: perSecond ?? null },
      ...(permit === undefined ? {} : { grant: permit.grant }),
    });
  }

  /** Tells the owner; if that fails, the next response of the upstream is reported again. */
  private async report(health: UpstreamHealth, report: LimitReport): Promise<void> {
    const { self, peerCalls, limitOwners, limitGrants, decisionLines } = this.parts;
    const owner = limitOwners.ownerOf(report.upstream);
    this.setReported(health, true);
    let accepted = false;
    try {
      accepted =
        owner === self
          ? limitGrants.report(report)
          : (await peerCalls.call(owner, PeerMethod.LimitReport, report, REPORT_TIMEOUT_MS)) ===
            true;
    } catch (error) {
      const { upstream } = report;
      decisionLines.write("limit not reported", { upstream, owner, detail: String(error) });
    }
    if (!accepted) this.setReported(health, false);
  }

  private setReported(health: UpstreamHealth, reported: boolean): void {
    if (health.statedLimit !== undefined) health.statedLimit = { ...health.statedLimit, reported };
  }

  private apply(limits: readonly KnownLimit[]): void {
    const { directory, upstreamHealth } = this.parts;
    for (const { upstream, startedMs, perSecond, receiver, owner, sequence } of limits) {
      if (directory.find(upstream)?.startedMs !== startedMs) continue;
      const health = upstreamHealth.of(upstream);
      const sequences = this.sequences.get(health) ?? new Map<string, number>();
      this.sequences.set(health, sequences);
      if (sequence <= (sequences.get(owner) ?? -Infinity)) continue;
      sequences.set(owner, sequence);
      this.set(upstream, health, perSecond ?? undefined, receiver);
      this.setReported(health, true);
    }
  }

  private set(
    upstream: string,
    health: UpstreamHealth,
    perSecond: number | undefined,
    receiver: string,
  ): void {
    const { timers, directory, decisionLines } = this.parts;
    const previous = health.statedLimit;
    if (perSecond === previous?.perSecond) return;
    health.statedLimit =
      perSecond === undefined
        ? undefined
        : { perSecond, receiver, learntMs: timers.now(), reported: false };
    decisionLines.write("upstream limit", {
      upstream,
      service: directory.find(upstream)?.service,
      perSecond: perSecond ?? null,
      previous: previous?.perSecond ?? null,
      receiver,
    });
  }
}
