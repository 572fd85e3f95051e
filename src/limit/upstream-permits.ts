import type { DecisionLines } from "../forward/decision-lines.js";
import type { ForwardMetrics } from "../forward/forward-metrics.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { UpstreamHealth } from "../forward/upstream-health.js";
import type { UpstreamHealthRegistry } from "../forward/upstream-health-registry.js";
import { AvoidedInstances } from "../peer/avoided-instances.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { Timers } from "../time/timers.js";
import type { LimitGrants } from "./limit-grants.js";
import { type PermitAnswer, type PermitRequest, permitAnswerSchema } from "./limit-messages.js";
import type { LimitOwners } from "./limit-owners.js";
import type { ColdUpstreams } from "../warmup/cold-upstreams.js";
import type { WarmupPermits } from "../warmup/warmup-permits.js";
import { Permit } from "./permit.js";
import type { PermitApplicant } from "./permit-queue.js";
import type { StatedLimit } from "./stated-limit.js";

/** Time limit of a call to the owner of a limit beside the wait; a round trip between regions. */
const OWNER_CALL_TIMEOUT_MS = 200;
/** Longest time for which the expected wait of a refusal is used instead of another request. */
const MAX_REFUSAL_AGE_MS = 1_000;
/** Wait after an owner that did not answer, or was not the owner. */
const OWNER_RETRY_MS = 300;
/** Requests of this instance that wait at one owner; leaves room for other calls between the two. */
const MAX_WAITING_PER_OWNER = 24;

/** Whether a request may be sent to an upstream. */
export type PermitOutcome =
  | { readonly kind: "unlimited" }
  | { readonly kind: "granted"; readonly permit: Permit }
  /** `availableInMs` is the expected wait for a permit. */
  | { readonly kind: "refused"; readonly availableInMs: number };

interface Refusal {
  readonly rank: number;
  readonly team: string;
  readonly availableMs: number;
  readonly expiresMs: number;
}

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  readonly peerCalls: PeerCalls;
  readonly limitOwners: LimitOwners;
  readonly limitGrants: LimitGrants;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: ForwardMetrics;
  readonly coldUpstreams: Pick<ColdUpstreams, "isCold" | "remainingMs">;
  readonly warmupPermits: Pick<WarmupPermits, "acquire" | "expectedWaitMs">;
}

/** Applicant for a permit, and the request or call that it is for. */
export interface PermitPurpose extends PermitApplicant {
  /** Identifies the request in log lines. */
  readonly attempt: string | undefined;
}

type Upstream = Pick<UpstreamEntry, "id" | "service">;

/** Obtains permits for upstreams that state a limit or are cold, from the owners of the limits. */
export class UpstreamPermits {
  /** The last refusal by process of an upstream. */
  private readonly refusals = new WeakMap<UpstreamHealth, Refusal>();
  private readonly waitingByOwner = new Map<string, number>();
  /** Owners that did not answer; each further request would wait for the time limit again. */
  private readonly unresponsiveOwners: AvoidedInstances;

  private constructor(private readonly parts: Parts) {
    this.unresponsiveOwners = AvoidedInstances.create(parts.timers);
  }

  static create(parts: Parts): UpstreamPermits {
    return new UpstreamPermits(parts);
  }

  /** Whether a request needs a permit as far as this instance knows. */
  isNeeded({ id }: Pick<Upstream, "id">): boolean {
    const { upstreamHealth, coldUpstreams } = this.parts;
    return upstreamHealth.of(id).statedLimit !== undefined || coldUpstreams.isCold({ id });
  }

  /** Expected wait for a permit in ms as far as known; 0 without a limit or a recent refusal. */
  expectedWaitMs(
    { id }: Pick<Upstream, "id">,
    { rank, team }: Pick<PermitPurpose, "rank" | "team">,
  ): number {
    const { coldUpstreams, warmupPermits } = this.parts;
    const health = this.parts.upstreamHealth.of(id);
    const remainingMs = coldUpstreams.remainingMs({ id });
    if (remainingMs > 0) {
      if (health.statedLimit !== undefined) return remainingMs;
      return Math.min(remainingMs, warmupPermits.expectedWaitMs({ id }, { rank }));
    }
    const refusal = this.refusals.get(health);
    const now = this.parts.timers.now();
    if (health.statedLimit === undefined || refusal === undefined) return 0;
    if (now >= refusal.expiresMs || rank < refusal.rank || team !== refusal.team) return 0;
    return Math.max(0, refusal.availableMs - now);
  }

  /** Resolves within `maxWaitMs` and the time limit of a call; never rejects. */
  async acquire(upstream: Upstream, purpose: PermitPurpose): Promise<PermitOutcome> {
    const health = this.parts.upstreamHealth.of(upstream.id);
    const limit = health.statedLimit;
    if (this.parts.coldUpstreams.isCold(upstream))
      return this.acquireCold(upstream, health, purpose);
    if (limit === undefined) return { kind: "unlimited" };
    const knownWaitMs = this.expectedWaitMs(upstream, purpose);
    if (knownWaitMs > purpose.maxWaitMs) return { kind: "refused", availableInMs: knownWaitMs };
    const outcome = await this.ask(upstream, health, limit, purpose);
    this.parts.forwardMetrics.recordPermit(upstream.service, outcome.kind);
    switch (outcome.kind) {
      case "granted":
        this.refusals.delete(health);
        break;
      case "unlimited":
        health.statedLimit = undefined;
        break;
      case "refused":
        this.recordRefusal(upstream, limit, purpose, outcome.availableInMs);
        break;
    }
    return outcome;
  }

  /** One that also states a limit gets nothing while it is cold. */
  private acquireCold(
    upstream: Upstream,
    { statedLimit, startedMs }: UpstreamHealth,
    purpose: PermitPurpose,
  ): Promise<PermitOutcome> {
    const { coldUpstreams, warmupPermits } = this.parts;
    if (statedLimit === undefined) return warmupPermits.acquire(upstream, startedMs, purpose);
    const availableInMs = coldUpstreams.remainingMs(upstream);
    return Promise.resolve({ kind: "refused", availableInMs });
  }

  private async ask(
    { id }: Upstream,
    health: UpstreamHealth,
    limit: StatedLimit,
    { rank, team, maxWaitMs }: PermitPurpose,
  ): Promise<PermitOutcome> {
    const { timers, limitOwners } = this.parts;
    const owner = limitOwners.ownerOf(id);
    const waiting = this.waitingByOwner.get(owner) ?? 0;
    const retry = { kind: "refused", availableInMs: OWNER_RETRY_MS } as const;
    if (waiting >= MAX_WAITING_PER_OWNER || this.unresponsiveOwners.has(owner)) return retry;
    const { startedMs } = health;
    const { perSecond, receiver } = limit;
    const request = { upstream: id, startedMs, perSecond, receiver, rank, team, maxWaitMs };
    const askedMs = timers.now();
    this.waitingByOwner.set(owner, waiting + 1);
    const answer = await this.answerOf(owner, request);
    this.waitingByOwner.set(owner, (this.waitingByOwner.get(owner) ?? 1) - 1);
    switch (answer?.kind) {
      case "granted": {
        const { grant, waitedMs } = answer;
        const permit = Permit.create(timers, grant, askedMs + waitedMs);
        return permit.valid ? { kind: "granted", permit } : retry;
      }
      case "refused":
      case "unlimited":
        return answer;
      case "not-owner":
      case undefined:
        return retry;
    }
  }

  /** Undefined if the owner does not answer. */
  private async answerOf(owner: string, request: PermitRequest): Promise<PermitAnswer | undefined> {
    const { self, peerCalls, limitGrants, decisionLines } = this.parts;
    if (owner === self) return limitGrants.request(request);
    const timeoutMs = request.maxWaitMs + OWNER_CALL_TIMEOUT_MS;
    try {
      return permitAnswerSchema.parse(
        await peerCalls.call(owner, PeerMethod.LimitPermit, request, timeoutMs),
      );
    } catch (error) {
      this.unresponsiveOwners.add(owner);
      const { upstream } = request;
      decisionLines.write("no permit answer", { upstream, owner, detail: String(error) });
      return undefined;
    }
  }

  private recordRefusal(
    { id, service }: Upstream,
    limit: StatedLimit,
    { attempt, rank, team }: PermitPurpose,
    availableInMs: number,
  ): void {
    const { timers, limitOwners, upstreamHealth, decisionLines } = this.parts;
    const now = timers.now();
    this.refusals.set(upstreamHealth.of(id), {
      rank,
      team,
      availableMs: now + availableInMs,
      expiresMs: now + Math.min(availableInMs, MAX_REFUSAL_AGE_MS),
    });
    decisionLines.write("permit refused", {
      attempt,
      upstream: id,
      service,
      rank,
      perSecond: limit.perSecond,
      receiver: limit.receiver,
      ageMs: Math.round(now - limit.learntMs),
      owner: limitOwners.ownerOf(id),
      availableInMs: Math.round(availableInMs),
    });
  }
}
