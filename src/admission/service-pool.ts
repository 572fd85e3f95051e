import type { RoutingChoice } from "../routing/routing-choice.js";
import type { AttemptResult } from "./attempt-result.js";
import { Backlog } from "./backlog.js";
import type { Estimate } from "./estimate.js";
import { ExclusiveQueue } from "./exclusive-queue.js";
import type { Pool } from "./pool.js";
import { RankServiceTimes } from "./rank-service-times.js";
import { refuseDecision, routeDecision } from "./work-decisions.js";
import { expiredError, lateError, noUpstreamError } from "./work-errors.js";
import { refusal } from "./refusal.js";
import type { ServicePoolParts } from "./service-pool-parts.js";
import type { Slot } from "./slot.js";
import { Tier } from "./tier.js";
import { WaitingQueue } from "./waiting-queue.js";
import type { WaitingWork } from "./waiting-work.js";
import type { Work } from "./work.js";

const DISPATCH_RETRY_INTERVAL_MS = 50;
const MIN_SLOTS = 1;
/** Work is refused at dispatch if less than this fraction of its expected service time is left. */
const MIN_TIME_LEFT_FRACTION = 0.9;
/**
 * Instances choose upstreams without knowing each other's latest choices, so with exactly as many
 * slots as the limits allow, some upstreams queue work while others idle.
 */
const OVERCOMMIT_FACTOR = 1.05;
const BUSY_FRACTION = 0.6;

/** Admits work for one service, queues it by priority and routes it to upstreams. */
export class ServicePool implements Pool {
  private readonly queue: WaitingQueue;
  private readonly exclusive = ExclusiveQueue.create();
  private readonly backlog = Backlog.create();
  private readonly serviceTimes = RankServiceTimes.create();
  private inFlight = 0;
  private dispatchScheduled = false;

  private constructor(private readonly parts: ServicePoolParts) {
    this.queue = WaitingQueue.create(parts.configuration);
  }

  static create(parts: ServicePoolParts): ServicePool {
    return new ServicePool(parts);
  }

  acquire(work: Work, signal: AbortSignal): Promise<Slot> {
    if (signal.aborted) return Promise.reject(signal.reason as Error);
    const costMs = this.serviceTimes.expected(work.costMs);
    let tier = this.backlog.tierOf(work);
    if (tier === undefined) {
      // A retry is not new demand of the caller: the first attempt was admitted.
      const repeated = work.excluded.size > 0;
      tier = repeated ? Tier.Target : this.recordOffered(work);
      const leftMs = work.deadline - this.parts.timers.now();
      // Refusing a retry would waste the stages that ran; it is refused at dispatch if it is late.
      const refused = repeated ? undefined : refusal(work, leftMs, [this.estimate(work, tier)]);
      if (refused !== undefined) {
        this.parts.decisionLog.write(refuseDecision(work, refused));
        return Promise.reject(refused);
      }
      if (repeated) this.backlog.add(work, tier, costMs);
      else this.reserve(work, tier);
    }
    if (!this.parts.router.hasCandidate(work)) {
      this.backlog.remove(work);
      return Promise.reject(noUpstreamError(work));
    }
    return new Promise((resolve, reject) => {
      this.enqueue(work, tier, costMs, signal, resolve, reject);
      this.dispatchWaiting();
    });
  }

  estimate(work: Work, tier = this.queue.nextTier(work)): Estimate {
    const { timers } = this.parts;
    const now = timers.now();
    this.backlog.expire(now);
    const costMs = this.serviceTimes.expected(work.costMs);
    const serviceMs = this.serviceTimes.of(work.rank).upperBound(work.costMs);
    const slots = this.slotLimit();
    const aheadMs = this.backlog.workAheadMs(work, tier);
    const fairMs = this.backlog.fairWorkBeforeMs(work, tier, costMs);
    const free = aheadMs + fairMs === 0 && this.inFlight < slots;
    if (free) return { waitMs: 0, waiting: 0, serviceMs };
    const availableFraction = this.queue.availableFraction(work, tier, slots, now);
    const inOrderMs = aheadMs / slots + fairMs / (slots * availableFraction);
    // A class below its guaranteed share does not wait for the work ahead of it.
    const guaranteedMs = (fairMs + costMs) / (slots * this.queue.guaranteedShareOf(work, now));
    return { waitMs: Math.min(inOrderMs, guaranteedMs), waiting: this.backlog.size, serviceMs };
  }

  /** Forgets old service times while no work runs that would correct them; false if there are none. */
  forgetOutdated(): boolean {
    const idle = this.inFlight === 0 && this.backlog.size === 0;
    return idle && this.serviceTimes.forgetOutdated(this.parts.timers.now());
  }

  /** Records work as demand of its team, whether or not it is admitted; returns its tier. */
  recordOffered(work: Work): Tier {
    const { demandSource, limitShare, service, timers } = this.parts;
    const costMs = this.serviceTimes.expected(work.costMs);
    demandSource.recordOffered(service, work.rank, work.team, costMs);
    return this.queue.offer(work, costMs, limitShare.fairShare(work.rank, work.team), timers.now());
  }

  /** Counts admitted work that will acquire a slot after earlier stages. */
  reserve(work: Work, tier: Tier): void {
    this.queue.takeCredits(work);
    this.backlog.add(work, tier, this.serviceTimes.expected(work.costMs));
  }

  /** Cancels the reservation of work that will not acquire a slot. */
  cancelReservation(work: Work): void {
    this.backlog.remove(work);
  }

  private enqueue(
    work: Work,
    tier: Tier,
    costMs: number,
    signal: AbortSignal,
    resolve: (slot: Slot) => void,
    reject: (error: Error) => void,
  ): void {
    const fail = (error: Error): void => {
      item.abandoned = true;
      this.backlog.remove(work);
      signal.removeEventListener("abort", onAbort);
      timeout.cancel();
      reject(error);
    };
    const onAbort = (): void => {
      fail(signal.reason as Error);
    };
    const timeout = this.parts.timers.after(work.deadline - this.parts.timers.now(), () => {
      fail(expiredError());
    });
    signal.addEventListener("abort", onAbort, { once: true });
    const item: WaitingWork = {
      work,
      tier,
      costMs,
      abandoned: false,
      refuse: (leftMs) => {
        fail(lateError(work, leftMs));
      },
      start: (routed) => {
        signal.removeEventListener("abort", onAbort);
        timeout.cancel();
        this.backlog.remove(work);
        resolve(this.createSlot(work, costMs, routed));
      },
    };
    if (work.exclusive === true) this.exclusive.push(item);
    else this.queue.push(item, this.parts.timers.now());
  }

  private dispatchWaiting(): void {
    this.dispatchExclusive();
    const now = this.parts.timers.now();
    while (this.inFlight < this.slotLimit()) {
      const item = this.queue.pop(now);
      if (item === undefined) return;
      const { work } = item;
      const leftMs = work.deadline - now;
      if (leftMs < MIN_TIME_LEFT_FRACTION * this.serviceTimes.of(work.rank).expected(work.costMs)) {
        item.refuse(leftMs);
        continue;
      }
      const routed = this.parts.router.choose(item.work, item.costMs, this.upstreamShare());
      if (routed === undefined) {
        this.queue.push(item, now);
        if (this.inFlight === 0) this.scheduleDispatch();
        return;
      }
      item.start(routed);
    }
  }

  private dispatchExclusive(): void {
    const item = this.exclusive.peek();
    if (item === undefined || this.inFlight >= this.slotLimit()) return;
    const routed = this.parts.router.chooseExclusive(item.work);
    if (routed === undefined) {
      if (this.inFlight === 0) this.scheduleDispatch();
      return;
    }
    this.exclusive.pop();
    item.start(routed);
  }

  private scheduleDispatch(): void {
    if (this.dispatchScheduled) return;
    this.dispatchScheduled = true;
    this.parts.timers.after(DISPATCH_RETRY_INTERVAL_MS, () => {
      this.dispatchScheduled = false;
      this.dispatchWaiting();
    });
  }

  private createSlot(work: Work, costMs: number, routed: RoutingChoice): Slot {
    const { record } = routed;
    this.inFlight += 1;
    const now = this.parts.timers.now();
    const end = record.beginAttempt(costMs, now);
    this.queue.recordStarted(work, costMs, now);
    this.parts.decisionLog.write(routeDecision(work, routed));
    return {
      upstream: record.upstream,
      release: (result) => {
        this.inFlight -= 1;
        end();
        if (work.exclusive === true) record.reserved = false;
        this.settle(work, costMs, routed, result);
        this.dispatchWaiting();
      },
    };
  }

  private settle(work: Work, costMs: number, routed: RoutingChoice, result: AttemptResult): void {
    const { router, timers } = this.parts;
    switch (result.kind) {
      case "succeeded":
        this.serviceTimes.learn(work.rank, work.costMs, result.durationMs, timers.now());
        router.recordResult(routed.record, true, result.durationMs / costMs);
        return;
      case "failed":
        router.recordResult(routed.record, false, 0);
        return;
      case "cancelled":
        router.cancelProbe(routed.record);
    }
  }

  /** Number of attempts that this instance may have in flight. */
  private slotLimit(): number {
    const capacity = this.parts.router.capacity();
    const slots = OVERCOMMIT_FACTOR * capacity * this.parts.limitShare.shareOf(capacity);
    return Math.max(MIN_SLOTS, Math.round(slots));
  }

  /**
   * Share of each upstream's limit that this instance may use. Below `BUSY_FRACTION` it is all of
   * the limit, because a short overlap of instances then costs less than a prefix cache miss.
   */
  private upstreamShare(): number {
    const isBusy = this.inFlight >= BUSY_FRACTION * this.slotLimit();
    return isBusy ? this.parts.limitShare.shareOf(this.parts.router.capacity()) : 1;
  }
}
