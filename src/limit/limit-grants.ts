import type { DecisionLines } from "../forward/decision-lines.js";
import type { Members } from "../peer/members.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import { MemberState } from "../peer/member-state.js";
import type { Updates } from "../peer/updates.js";
import type { Timers } from "../time/timers.js";
import {
  type KnownLimit,
  type LimitReport,
  MAX_LIMITS,
  type PermitAnswer,
  type PermitRequest,
  limitReportSchema,
  permitRequestSchema,
} from "./limit-messages.js";
import type { LimitOwners } from "./limit-owners.js";
import { OwnedLimit } from "./owned-limit.js";

/** Changes are collected for this time; many upstreams may state a limit at the same moment. */
const PUBLISH_DELAY_MS = 50;
/** Time after which a refused requester asks whether another instance has become the owner. */
const RETRY_MS = 200;
/** Time limit of the call that sends the limits to a new instance. */
const NOTIFY_TIMEOUT_MS = 1_000;

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  /** Start of this process in ms since the epoch. */
  readonly incarnation: number;
  readonly members: Members;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly updates: Updates;
  readonly limitOwners: LimitOwners;
  readonly decisionLines: DecisionLines;
}

type LimitProcess = Pick<KnownLimit, "upstream" | "startedMs">;

/** Grants the permits of the limits that this instance owns, and tells the fleet of their changes. */
export class LimitGrants {
  private readonly limits = new Map<string, OwnedLimit>();
  /** Upstreams whose limit is to be published. */
  private readonly unpublished = new Set<string>();
  private readonly knownIncarnations = new Map<string, number>();
  private sequence: number;
  private notifyLocally: (limits: readonly KnownLimit[]) => void = () => undefined;

  private constructor(private readonly parts: Parts) {
    // Higher than the sequences of an earlier process of this instance.
    this.sequence = parts.incarnation;
  }

  static create(parts: Parts): LimitGrants {
    return new LimitGrants(parts);
  }

  /** Registers for the calls of other instances. */
  start(): void {
    const { peerMethods, members, limitOwners } = this.parts;
    limitOwners.start();
    peerMethods.register(PeerMethod.LimitPermit, (params) =>
      this.request(permitRequestSchema.parse(params)),
    );
    peerMethods.register(PeerMethod.LimitReport, (params) =>
      Promise.resolve(this.report(limitReportSchema.parse(params))),
    );
    members.subscribe(({ id, incarnation, state }) => {
      if (state === MemberState.Alive) this.notifyNewInstance(id, incarnation);
      else if (state === MemberState.Dead) this.knownIncarnations.delete(id);
    });
  }

  /** Sets the receiver of changes on this instance, which does not get its own updates. */
  onPublished(receiver: (limits: readonly KnownLimit[]) => void): void {
    this.notifyLocally = receiver;
  }

  /** Grants no permits any more; other instances become the owners. */
  leave(): void {
    this.parts.limitOwners.leave();
    for (const limit of this.limits.values()) limit.close(RETRY_MS);
    this.limits.clear();
  }

  /** Answers at once, or after a wait of at most `maxWaitMs` that ends with a permit. */
  async request(request: PermitRequest): Promise<PermitAnswer> {
    const { self, incarnation, limitOwners } = this.parts;
    if (limitOwners.ownerOf(request.upstream) !== self) return { kind: "not-owner" };
    if (limitOwners.settlesInMs > 0) {
      return { kind: "refused", availableInMs: limitOwners.settlesInMs };
    }
    const limit = this.find(request) ?? this.add(request);
    if (limit === undefined) return { kind: "refused", availableInMs: RETRY_MS };
    if (limit.hasEnded()) return { kind: "unlimited" };
    const decision = await limit.queue.request(request);
    if (decision.kind === "granted") {
      const { grantedMs, waitedMs } = decision;
      return { kind: "granted", grant: { owner: self, incarnation, grantedMs }, waitedMs };
    }
    return limit.hasEnded() ? { kind: "unlimited" } : decision;
  }

  /** Records a statement of an upstream; returns false if this instance is not the owner. */
  report(report: LimitReport): boolean {
    const { self, incarnation, limitOwners } = this.parts;
    if (limitOwners.ownerOf(report.upstream) !== self) return false;
    const { perSecond, receiver, grant } = report;
    const own = grant?.owner === self && grant.incarnation === incarnation;
    const limit = this.find(report);
    if (limit !== undefined) {
      if (limit.record(perSecond, receiver, own ? grant.grantedMs : undefined))
        this.publish(report.upstream);
    } else if (perSecond !== null) {
      this.add({ ...report, perSecond });
      this.publish(report.upstream);
    }
    return true;
  }

  /** The limit of that process; one of an earlier process is dropped. */
  private find({ upstream, startedMs }: LimitProcess): OwnedLimit | undefined {
    const limit = this.limits.get(upstream);
    if (limit === undefined || limit.process.startedMs >= startedMs) return limit;
    limit.close(0);
    this.limits.delete(upstream);
    return undefined;
  }

  private add(
    limit: LimitProcess & { perSecond: number; receiver: string },
  ): OwnedLimit | undefined {
    const { timers, limitOwners } = this.parts;
    const { upstream } = limit;
    if (this.limits.size >= MAX_LIMITS) this.dropUnused();
    if (this.limits.size >= MAX_LIMITS) return undefined;
    const owned = OwnedLimit.create(
      timers,
      limit,
      () => limitOwners.grantFraction(upstream),
      () => {
        this.publish(upstream);
      },
    );
    this.limits.set(upstream, owned);
    return owned;
  }

  /** Drops ended limits and those of other owners. */
  private dropUnused(): void {
    for (const [upstream, limit] of this.limits) {
      const owned = this.parts.limitOwners.ownerOf(upstream) === this.parts.self;
      if (owned && !limit.hasEnded()) continue;
      limit.close(RETRY_MS);
      this.limits.delete(upstream);
    }
  }

  private publish(upstream: string): void {
    const { timers, updates } = this.parts;
    this.unpublished.add(upstream);
    if (this.unpublished.size > 1) return;
    timers.after(PUBLISH_DELAY_MS, () => {
      const limits = this.known([...this.unpublished]);
      this.unpublished.clear();
      if (limits.length === 0) return;
      updates.publish({ kind: "upstream-limits", limits });
      this.notifyLocally(limits);
    });
  }

  private known(upstreams: readonly string[]): KnownLimit[] {
    this.sequence += 1;
    return upstreams.flatMap((upstream) => {
      const limit = this.limits.get(upstream)?.known;
      const { self: owner } = this.parts;
      return limit === undefined ? [] : [{ ...limit, owner, sequence: this.sequence }];
    });
  }

  /** An instance that has just started has missed earlier updates. */
  private notifyNewInstance(id: string, incarnation: number): void {
    const { timers, peerCalls, decisionLines } = this.parts;
    if (this.knownIncarnations.get(id) === incarnation) return;
    this.knownIncarnations.set(id, incarnation);
    timers.after(PUBLISH_DELAY_MS, () => {
      const limits = this.known([...this.limits.keys()]);
      if (limits.length === 0) return;
      peerCalls
        .call(id, PeerMethod.LimitsKnown, { limits }, NOTIFY_TIMEOUT_MS)
        .catch((error: unknown) => {
          decisionLines.write("limits not sent", { instance: id, detail: String(error) });
        });
    });
  }
}
