import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { RoutingChoice } from "../routing/routing-choice.js";
import type { AttemptResult } from "./attempt-result.js";
import { Backlog } from "./backlog.js";
import type { Estimate } from "./estimate.js";
import { ExclusiveQueue } from "./exclusive-queue.js";
import type { Pool } from "./pool.js";
import { RankServiceTimes } from "./rank-service-times.js";
import { refuseDecision, routeDecision } from "./decision-lines.js";
import { refusal } from "./refusal.js";
import type { ServicePoolParts } from "./service-pool-parts.js";
import type { Slot } from "./slot.js";
import { Tier } from "./tier.js";
import { WaitingQueue } from "./waiting-queue.js";
import type { WaitingWork } from "./waiting-work.js";
import type { Work } from "./work.js";

const DISPATCH_RETRY_INTERVAL_MS = 50;
const MIN_SLOTS = 1;
/** Work with less than this fraction of its expected service time left is refused. */
const MIN_TIME_LEFT_FRACTION = 0.9;
/**
 * Slots lent beyond the limits: instances choose without seeing each other's latest choices, so at
 * exactly the limit some upstreams queue while others idle.
 */
const OVERCOMMIT_FACTOR = 1.05;
const BUSY_FRACTION = 0.6;

/** Admission and routing for one service: a short ranked queue in front of the router. */
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
    let tier = this.backlog.tier(work);
    if (tier === undefined) {
      // A repeated attempt is not new demand of the caller; its first one was admitted.
      const repeated = work.excluded.size > 0;
      tier = repeated ? Tier.Target : this.offer(work);
      const leftMs = work.deadline - this.parts.timers.now();
      // Refusing a repeated attempt would waste the stages that ran; the queue drops it if it is late.
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
      const detail = `no upstream for ${work.stage}`;
      return Promise.reject(ServeError.create(ErrorKind.NoUpstream, detail));
    }
    return new Promise((resolve, reject) => {
      this.enqueue(work, tier, costMs, signal, resolve, reject);
      this.dispatchWaiting();
    });
  }

  estimate(work: Work, tier = this.queue.tier(work)): Estimate {
    const { timers } = this.parts;
    const now = timers.now();
    this.backlog.expire(now);
    const costMs = this.serviceTimes.expected(work.costMs);
    const serviceMs = this.serviceTimes.of(work.rank).upperBound(work.costMs);
    const budget = this.budget();
    const ahead = this.backlog.workAheadMs(work, tier);
    const before = this.backlog.fairWorkBeforeMs(work, tier, costMs);
    if (ahead + before === 0 && this.inFlight < budget) return { waitMs: 0, waiting: 0, serviceMs };
    const available = this.queue.availableFraction(work, tier, budget, now);
    const inOrder = ahead / budget + before / (budget * available);
    // A rank below its floor does not wait for the work ahead of it.
    const byFloor = (before + costMs) / (budget * this.queue.floorOf(work, now));
    return { waitMs: Math.min(inOrder, byFloor), waiting: this.backlog.size, serviceMs };
  }

  /** Records that a caller asked for work, whether or not it is admitted; returns its tier. */
  offer(work: Work): Tier {
    const { demandSource, limitShare, service, timers } = this.parts;
    const costMs = this.serviceTimes.expected(work.costMs);
    demandSource.offer(service, work.rank, work.team, costMs);
    return this.queue.offer(work, costMs, limitShare.fairShare(work.rank, work.team), timers.now());
  }

  /** Counts admitted work that will ask for a slot after earlier stages. */
  reserve(work: Work, tier: Tier): void {
    this.queue.admit(work);
    this.backlog.add(work, tier, this.serviceTimes.expected(work.costMs));
  }

  /** Takes back the reservation of work that will not ask for a slot. */
  withdraw(work: Work): void {
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
    const leave = (error: Error): void => {
      item.abandoned = true;
      this.backlog.remove(work);
      signal.removeEventListener("abort", abort);
      timeout.cancel();
      reject(error);
    };
    const abort = (): void => {
      leave(signal.reason as Error);
    };
    const timeout = this.parts.timers.after(work.deadline - this.parts.timers.now(), () => {
      leave(ServeError.create(ErrorKind.DeadlineExceeded, "the deadline passed in the queue"));
    });
    signal.addEventListener("abort", abort, { once: true });
    const item: WaitingWork = {
      work,
      tier,
      costMs,
      abandoned: false,
      refuse: (leftMs) => {
        const kind = leftMs <= 0 ? ErrorKind.DeadlineExceeded : ErrorKind.DeadlineUnreachable;
        const detail = `${work.stage}: the time left is shorter than the service time`;
        leave(ServeError.create(kind, detail));
      },
      start: (routed) => {
        signal.removeEventListener("abort", abort);
        timeout.cancel();
        this.backlog.remove(work);
        resolve(this.slot(work, costMs, routed));
      },
    };
    if (work.exclusive === true) this.exclusive.push(item);
    else this.queue.push(item, this.parts.timers.now());
  }

  private dispatchWaiting(): void {
    this.dispatchExclusive();
    const now = this.parts.timers.now();
    while (this.inFlight < this.budget()) {
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
    if (item === undefined || this.inFlight >= this.budget()) return;
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

  private slot(work: Work, costMs: number, routed: RoutingChoice): Slot {
    const { record } = routed;
    this.inFlight += 1;
    const now = this.parts.timers.now();
    const end = record.beginAttempt(costMs, now);
    this.queue.serve(work, costMs, now);
    this.parts.decisionLog.write(routeDecision(work, routed));
    return {
      upstream: record.upstream,
      release: (result) => {
        this.inFlight -= 1;
        end();
        if (work.exclusive === true) record.reserved = false;
        this.learn(work, costMs, routed, result);
        this.dispatchWaiting();
      },
    };
  }

  private learn(work: Work, costMs: number, routed: RoutingChoice, result: AttemptResult): void {
    const { router } = this.parts;
    switch (result.kind) {
      case "succeeded":
        this.serviceTimes.learn(work.rank, work.costMs, result.durationMs);
        router.recordResult(routed.record, true, result.durationMs / costMs);
        return;
      case "failed":
        router.recordResult(routed.record, false, 0);
        return;
      case "cancelled":
        router.cancelProbe(routed.record);
    }
  }

  /** Number of slots that this instance may use concurrently. */
  private budget(): number {
    const capacity = this.parts.router.capacity();
    return Math.max(
      MIN_SLOTS,
      Math.round(OVERCOMMIT_FACTOR * capacity * this.parts.limitShare.shareOf(capacity)),
    );
  }

  /**
   * Part of each upstream's limit that this instance may fill; all of it while the service has
   * room, because then a short overlap of instances costs less than a prefix cache miss.
   */
  private upstreamShare(): number {
    const busy = this.inFlight >= BUSY_FRACTION * this.budget();
    return busy ? this.parts.limitShare.shareOf(this.parts.router.capacity()) : 1;
  }
}
