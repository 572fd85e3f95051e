import { LRUCache } from "lru-cache";
import type { DecisionLines } from "../forward/decision-lines.js";
import type { ForwardMetrics } from "../forward/forward-metrics.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import { type PermitAnswer, permitAnswerSchema } from "../limit/limit-messages.js";
import type { LimitOwners } from "../limit/limit-owners.js";
import { Permit, PermitUse } from "../limit/permit.js";
import type { PermitApplicant } from "../limit/permit-queue.js";
import { AvoidedInstances } from "../peer/avoided-instances.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { Timers } from "../time/timers.js";
import type { ColdUpstreams } from "./cold-upstreams.js";
import type { WarmupGrants } from "./warmup-grants.js";
import type { WarmupRequest } from "./warmup-messages.js";

/** Time limit of a call to an owner beside the wait; a round trip between regions. */
const OWNER_CALL_TIMEOUT_MS = 200;
/** Longest time for which the expected wait of a refusal is used instead of another request. */
const MAX_REFUSAL_AGE_MS = 1_000;
/** Wait after an owner that did not answer, or was not the owner. */
const OWNER_RETRY_MS = 300;
/** Requests of this instance that wait at one owner; leaves room for other calls between the two. */
const MAX_WAITING_PER_OWNER = 24;
/** Far above the number of upstreams of a deployment. */
const MAX_UPSTREAMS = 4_096;

/** Whether a request may be sent to a cold upstream. */
export type WarmupOutcome =
  | { readonly kind: "granted"; readonly permit: Permit }
  /** `availableInMs` is the expected wait for a permit. */
  | { readonly kind: "refused"; readonly availableInMs: number };

interface Refusal {
  readonly rank: number;
  readonly availableMs: number;
  readonly expiresMs: number;
}

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  readonly peerCalls: PeerCalls;
  readonly limitOwners: LimitOwners;
  readonly coldUpstreams: ColdUpstreams;
  readonly warmupGrants: WarmupGrants;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: ForwardMetrics;
}

/** Applicant for a permit; the attempt identifies the request in log lines. */
interface Purpose extends PermitApplicant {
  readonly attempt: string | undefined;
}

type Upstream = Pick<UpstreamEntry, "id" | "service">;

/** Obtains permits for cold upstreams, from the owners of their limits. */
export class WarmupPermits {
  private readonly refusals = new LRUCache<string, Refusal>({ max: MAX_UPSTREAMS });
  private readonly waitingByOwner = new Map<string, number>();
  /** Owners that did not answer; each further request would wait for the time limit again. */
  private readonly unresponsiveOwners: AvoidedInstances;

  private constructor(private readonly parts: Parts) {
    this.unresponsiveOwners = AvoidedInstances.create(parts.timers);
  }

  static create(parts: Parts): WarmupPermits {
    return new WarmupPermits(parts);
  }

  /** Expected wait for a permit of a cold upstream in ms; 0 without a recent refusal. */
  expectedWaitMs({ id }: Pick<Upstream, "id">, { rank }: Pick<Purpose, "rank">): number {
    const refusal = this.refusals.get(id);
    const now = this.parts.timers.now();
    if (refusal === undefined || now >= refusal.expiresMs || rank < refusal.rank) return 0;
    return Math.max(0, refusal.availableMs - now);
  }

  /** Resolves within `maxWaitMs` and the time limit of a call; never rejects. */
  async acquire(upstream: Upstream, startedMs: number, purpose: Purpose): Promise<WarmupOutcome> {
    const knownWaitMs = this.expectedWaitMs(upstream, purpose);
    if (knownWaitMs > purpose.maxWaitMs) return { kind: "refused", availableInMs: knownWaitMs };
    const outcome = await this.ask(upstream, startedMs, purpose);
    this.parts.forwardMetrics.recordWarmupPermit(upstream.service, outcome.kind);
    if (outcome.kind === "refused") this.recordRefusal(upstream, purpose, outcome.availableInMs);
    else this.refusals.delete(upstream.id);
    return outcome;
  }

  private async ask(
    { id, service }: Upstream,
    startedMs: number,
    { rank, team, maxWaitMs }: Purpose,
  ): Promise<WarmupOutcome> {
    const { timers, limitOwners, coldUpstreams } = this.parts;
    const owner = limitOwners.ownerOf(id);
    const waiting = this.waitingByOwner.get(owner) ?? 0;
    const retry = { kind: "refused", availableInMs: OWNER_RETRY_MS } as const;
    if (waiting >= MAX_WAITING_PER_OWNER || this.unresponsiveOwners.has(owner)) return retry;
    const remainingMs = coldUpstreams.knownMs({ id });
    const unreachedMs = coldUpstreams.unreachedMs({ id, service });
    const process = { upstream: id, service, startedMs, remainingMs, unreachedMs };
    const request = { ...process, rank, team, maxWaitMs };
    const askedMs = timers.now();
    this.waitingByOwner.set(owner, waiting + 1);
    const answer = await this.answerOf(owner, request);
    this.waitingByOwner.set(owner, (this.waitingByOwner.get(owner) ?? 1) - 1);
    switch (answer?.kind) {
      case "granted": {
        const { grant, waitedMs } = answer;
        const permit = Permit.create(timers, grant, askedMs + waitedMs, PermitUse.Warmup);
        return permit.valid ? { kind: "granted", permit } : retry;
      }
      case "refused":
        return answer;
      case "unlimited":
      case "not-owner":
      case undefined:
        return retry;
    }
  }

  /** Undefined if the owner does not answer. */
  private async answerOf(owner: string, request: WarmupRequest): Promise<PermitAnswer | undefined> {
    const { self, peerCalls, warmupGrants, decisionLines } = this.parts;
    if (owner === self) return warmupGrants.request(request, self);
    const timeoutMs = request.maxWaitMs + OWNER_CALL_TIMEOUT_MS;
    try {
      return permitAnswerSchema.parse(
        await peerCalls.call(owner, PeerMethod.WarmupPermit, request, timeoutMs),
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
    { attempt, rank }: Purpose,
    availableInMs: number,
  ): void {
    const { timers, limitOwners, coldUpstreams, decisionLines } = this.parts;
    const now = timers.now();
    const expiresMs = now + Math.min(availableInMs, MAX_REFUSAL_AGE_MS);
    this.refusals.set(id, { rank, availableMs: now + availableInMs, expiresMs });
    decisionLines.write("cold upstream refused", {
      ...{ attempt, upstream: id, service, rank },
      perSecond: coldUpstreams.paceOf(service),
      remainingMs: Math.round(coldUpstreams.remainingMs({ id })),
      owner: limitOwners.ownerOf(id),
      availableInMs: Math.round(availableInMs),
    });
  }
}
