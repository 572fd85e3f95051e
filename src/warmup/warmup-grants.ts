import { LRUCache } from "lru-cache";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { PermitAnswer } from "../limit/limit-messages.js";
import type { LimitOwners } from "../limit/limit-owners.js";
import { PermitQueue } from "../limit/permit-queue.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import type { Updates } from "../peer/updates.js";
import type { Timers } from "../time/timers.js";
import type { ColdUpstreams } from "./cold-upstreams.js";
import {
  type ColdProcess,
  MAX_COLD_UPSTREAMS,
  type WarmupRequest,
  warmupRequestSchema,
} from "./warmup-messages.js";

/** Upstreams are collected for this time; a data centre may return with many at once. */
const PUBLISH_DELAY_MS = 50;
/** Time after which a refused requester asks whether another instance has become the owner. */
const RETRY_MS = 200;
/** Least time by which an upstream stays cold for longer than was told, before it is told again. */
const MIN_EXTENSION_MS = 500;

/** Instances that could not connect to an upstream before all count it as cold. */
const MIN_UNREACHED = 4;

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  /** Start of this process in ms since the epoch. */
  readonly incarnation: number;
  readonly peerMethods: PeerMethods;
  readonly updates: Updates;
  readonly limitOwners: LimitOwners;
  readonly coldUpstreams: ColdUpstreams;
  readonly directory: Pick<UpstreamDirectory, "subscribe">;
}

/** Grants the permits of the cold upstreams that this instance owns. */
export class WarmupGrants {
  /** The queues outlive coldness, so that a grant just before it began again counts. */
  private readonly queues = new Map<string, PermitQueue>();
  private readonly unpublished = new Map<string, ColdProcess & { readonly untilMs: number }>();
  /** Instances that could not connect to an upstream, and how long that counts. */
  private readonly unreached = new LRUCache<string, Map<string, number>>({
    max: MAX_COLD_UPSTREAMS,
  });
  /** What the fleet was told; times are on the monotonic clock in ms. */
  private readonly told = new Map<string, { startedMs: number; untilMs: number }>();

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): WarmupGrants {
    return new WarmupGrants(parts);
  }

  /** Registers for the calls and updates of other instances. */
  start(): void {
    const { peerMethods, updates, coldUpstreams, directory } = this.parts;
    peerMethods.register(PeerMethod.WarmupPermit, (params, from) =>
      this.request(warmupRequestSchema.parse(params), from),
    );
    updates.subscribe((update) => {
      if (update.kind !== "cold-upstreams") return;
      for (const process of update.upstreams) this.record(process);
    });
    coldUpstreams.subscribe((process) => {
      updates.publish({ kind: "cold-upstreams", upstreams: [process] });
    });
    directory.subscribe((entries) => {
      this.tellRead(entries);
    });
  }

  /** Grants no permits any more. */
  leave(): void {
    for (const queue of this.queues.values()) queue.refuseAll(RETRY_MS);
    this.queues.clear();
  }

  /** Answers at once, or after a wait of at most `maxWaitMs` that ends with a permit. */
  async request(request: WarmupRequest, from: string): Promise<PermitAnswer> {
    const { self, incarnation, limitOwners, coldUpstreams } = this.parts;
    const { upstream, service } = request;
    if (limitOwners.ownerOf(upstream) !== self) return { kind: "not-owner" };
    if (limitOwners.settlesInMs > 0)
      return { kind: "refused", availableInMs: limitOwners.settlesInMs };
    // Without the configuration of the service there is no pace.
    if (coldUpstreams.paceOf(service) === undefined)
      return { kind: "refused", availableInMs: RETRY_MS };
    this.tell(this.knowledgeOf(request, from));
    const queue = this.queueOf(upstream, service);
    if (queue === undefined) return { kind: "refused", availableInMs: RETRY_MS };
    const decision = await queue.request(request);
    if (decision.kind === "refused") return decision;
    const { grantedMs, waitedMs } = decision;
    return { kind: "granted", grant: { owner: self, incarnation, grantedMs }, waitedMs };
  }

  /** Tells at once which upstreams rows say to be cold, unless another instance has told it. */
  private tellRead(entries: readonly UpstreamEntry[]): void {
    const { updates, coldUpstreams } = this.parts;
    const cold = entries
      .filter((entry) => entry.warmupMs > 0 && coldUpstreams.isNews(entry))
      .map(({ id, startedMs, warmupMs }) => ({ upstream: id, startedMs, remainingMs: warmupMs }))
      .slice(0, MAX_COLD_UPSTREAMS);
    if (cold.length === 0) return;
    for (const process of cold) this.record(process);
    updates.publish({ kind: "cold-upstreams", upstreams: cold });
  }

  private record({ upstream: id, startedMs, remainingMs, ...told }: ColdProcess): void {
    const { timers, coldUpstreams } = this.parts;
    const process = { id, startedMs };
    if (told.warmAgeMs !== undefined)
      coldUpstreams.recordWarm(process, timers.now() - told.warmAgeMs, told.stated === true);
    else if (told.inferred === true) coldUpstreams.recordInferred(process, remainingMs);
    else coldUpstreams.record(process, remainingMs);
  }

  private queueOf(upstream: string, service: string): PermitQueue | undefined {
    const { timers, limitOwners, coldUpstreams } = this.parts;
    let queue = this.queues.get(upstream);
    if (queue !== undefined) return queue;
    if (this.queues.size >= MAX_COLD_UPSTREAMS) this.dropUnused();
    if (this.queues.size >= MAX_COLD_UPSTREAMS) return undefined;
    queue = PermitQueue.create(timers, () => {
      const pace = (coldUpstreams.paceOf(service) ?? 0) * limitOwners.grantFraction(upstream);
      return pace > 0 ? pace : undefined;
    });
    this.queues.set(upstream, queue);
    return queue;
  }

  private dropUnused(): void {
    const { self, limitOwners, coldUpstreams } = this.parts;
    for (const [id, queue] of this.queues) {
      if (limitOwners.ownerOf(id) === self && coldUpstreams.isCold({ id })) continue;
      queue.refuseAll(RETRY_MS);
      this.queues.delete(id);
      this.told.delete(id);
    }
  }

  /** That an upstream is cold, or several instances could not connect to it. */
  private knowledgeOf(request: WarmupRequest, from: string): ColdProcess {
    const { upstream, startedMs, remainingMs, unreachedMs = 0 } = request;
    const process = { upstream, startedMs };
    if (remainingMs > 0 || unreachedMs === 0) return { ...process, remainingMs };
    const now = this.parts.timers.now();
    const untilMs = this.unreached.get(upstream) ?? new Map<string, number>();
    untilMs.set(from, now + unreachedMs);
    for (const [id, endMs] of untilMs) if (endMs <= now) untilMs.delete(id);
    this.unreached.set(upstream, untilMs);
    const agreedMs = untilMs.size >= MIN_UNREACHED ? unreachedMs : 0;
    return { ...process, remainingMs: agreedMs, inferred: true };
  }

  /** Tells the fleet what it may not have read; only for the first requester of a process. */
  private tell(process: ColdProcess): void {
    const { timers, updates } = this.parts;
    const { upstream, startedMs, remainingMs } = process;
    this.record(process);
    const now = timers.now();
    const told = this.told.get(upstream);
    const untilMs = now + remainingMs;
    const known = told?.startedMs === startedMs ? told.untilMs : now;
    // Each message takes time, so that what was told comes back as a little longer.
    if (remainingMs <= 0 || (known > now && untilMs < known + MIN_EXTENSION_MS)) return;
    this.told.set(upstream, { startedMs, untilMs });
    this.unpublished.set(upstream, { ...process, untilMs });
    if (this.unpublished.size > 1) return;
    timers.after(PUBLISH_DELAY_MS, () => {
      const publishedMs = timers.now();
      const upstreams = [...this.unpublished.values()]
        .map(({ untilMs: endMs, ...rest }) => ({ ...rest, remainingMs: endMs - publishedMs }))
        .filter((each) => each.remainingMs > 0)
        .slice(0, MAX_COLD_UPSTREAMS);
      this.unpublished.clear();
      updates.publish({ kind: "cold-upstreams", upstreams });
    });
  }
}
