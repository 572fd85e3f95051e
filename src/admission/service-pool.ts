import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { RoutingChoice } from "../routing/routing-choice.js";
import type { AttemptResult } from "./attempt-result.js";
import { Backlog } from "./backlog.js";
import type { Estimate } from "./estimate.js";
import { ExclusiveQueue } from "./exclusive-queue.js";
import type { Pool } from "./pool.js";
import { RankCosts } from "./rank-costs.js";
import { refuseLine, routeLine } from "./decision-lines.js";
import { refusal } from "./refusal.js";
import type { ServicePoolParts } from "./service-pool-parts.js";
import type { Slot } from "./slot.js";
import { Tier } from "./tier.js";
import { WaitingQueue } from "./waiting-queue.js";
import type { WaitingWork } from "./waiting-work.js";
import type { Work } from "./work.js";

const RETRY_PUMP_MS = 50;
const LEAST_SLOTS = 1;
/** Work with less time than this part of its expected service time would end late. */
const LEAST_PART = 0.9;
/**
 * Slots lent beyond the limits: instances choose without seeing each other's latest choices, so at
 * exactly the limit some upstreams queue while others idle.
 */
const OVERCOMMIT = 1.05;
const BUSY = 0.6;

/** Admission and routing for one service: a short ranked queue in front of the router. */
export class ServicePool implements Pool {
  private readonly queue: WaitingQueue;
  private readonly exclusive = ExclusiveQueue.create();
  private readonly backlog = Backlog.create();
  private readonly cost = RankCosts.create();
  private inFlight = 0;
  private pumpPending = false;

  private constructor(private readonly parts: ServicePoolParts) {
    this.queue = WaitingQueue.create(parts.configuration);
  }

  static create(parts: ServicePoolParts): ServicePool {
    return new ServicePool(parts);
  }

  acquire(work: Work, signal: AbortSignal): Promise<Slot> {
    if (signal.aborted) return Promise.reject(signal.reason as Error);
    const costMs = this.cost.expected(work.costMs);
    let tier = this.backlog.tier(work);
    if (tier === undefined) {
      // A repeated attempt is not new demand of the caller; its first one was admitted.
      const repeated = work.excluded.size > 0;
      tier = repeated ? Tier.Target : this.offer(work);
      const leftMs = work.deadline - this.parts.timers.now();
      // Refusing a repeated attempt would waste the stages that ran; the queue drops it if it is late.
      const refused = repeated ? undefined : refusal(work, leftMs, [this.estimate(work, tier)]);
      if (refused !== undefined) {
        this.parts.decisionLog.write(refuseLine(work, refused));
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
      this.wait(work, tier, costMs, signal, resolve, reject);
      this.pump();
    });
  }

  estimate(work: Work, tier = this.queue.tier(work)): Estimate {
    const { timers } = this.parts;
    const now = timers.now();
    this.backlog.expire(now);
    const costMs = this.cost.expected(work.costMs);
    const serviceMs = this.cost.of(work.rank).cautious(work.costMs);
    const budget = this.budget();
    const ahead = this.backlog.ahead(work, tier);
    const before = this.backlog.before(work, tier, costMs);
    if (ahead + before === 0 && this.inFlight < budget) return { waitMs: 0, waiting: 0, serviceMs };
    const available = this.queue.available(work, tier, budget, now);
    const inOrder = ahead / budget + before / (budget * available);
    // A rank below its floor does not wait for the work ahead of it.
    const byFloor = (before + costMs) / (budget * this.queue.floorOf(work, now));
    return { waitMs: Math.min(inOrder, byFloor), waiting: this.backlog.size, serviceMs };
  }

  /** Records that a caller asked for work, whether or not it is admitted; returns its tier. */
  offer(work: Work): Tier {
    const { demandSource, limitPart, service, timers } = this.parts;
    const costMs = this.cost.expected(work.costMs);
    demandSource.offer(service, work.rank, work.team, costMs);
    return this.queue.offer(work, costMs, limitPart.fairPart(work.rank, work.team), timers.now());
  }

  /** Counts admitted work that will ask for a slot after earlier stages. */
  reserve(work: Work, tier: Tier): void {
    this.queue.admit(work);
    this.backlog.add(work, tier, this.cost.expected(work.costMs));
  }

  /** Takes back the reservation of work that will not ask for a slot. */
  withdraw(work: Work): void {
    this.backlog.remove(work);
  }

  private wait(
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

  private pump(): void {
    this.startExclusive();
    const now = this.parts.timers.now();
    while (this.inFlight < this.budget()) {
      const item = this.queue.pop(now);
      if (item === undefined) return;
      const { work } = item;
      const leftMs = work.deadline - now;
      if (leftMs < LEAST_PART * this.cost.of(work.rank).expected(work.costMs)) {
        item.refuse(leftMs);
        continue;
      }
      const routed = this.parts.router.choose(item.work, item.costMs, this.ownPart());
      if (routed === undefined) {
        this.queue.push(item, now);
        if (this.inFlight === 0) this.pumpLater();
        return;
      }
      item.start(routed);
    }
  }

  private startExclusive(): void {
    const item = this.exclusive.peek();
    if (item === undefined || this.inFlight >= this.budget()) return;
    const routed = this.parts.router.chooseExclusive(item.work);
    if (routed === undefined) {
      if (this.inFlight === 0) this.pumpLater();
      return;
    }
    this.exclusive.pop();
    item.start(routed);
  }

  private pumpLater(): void {
    if (this.pumpPending) return;
    this.pumpPending = true;
    this.parts.timers.after(RETRY_PUMP_MS, () => {
      this.pumpPending = false;
      this.pump();
    });
  }

  private slot(work: Work, costMs: number, routed: RoutingChoice): Slot {
    const { record } = routed;
    this.inFlight += 1;
    const now = this.parts.timers.now();
    const end = record.beginAttempt(costMs, now);
    this.queue.serve(work, costMs, now);
    this.parts.decisionLog.write(routeLine(work, routed));
    return {
      upstream: record.upstream,
      release: (result) => {
        this.inFlight -= 1;
        end();
        if (work.exclusive === true) record.reserved = false;
        this.learn(work, costMs, routed, result);
        this.pump();
      },
    };
  }

  private learn(work: Work, costMs: number, routed: RoutingChoice, result: AttemptResult): void {
    const { router } = this.parts;
    switch (result.kind) {
      case "succeeded":
        this.cost.learn(work.rank, work.costMs, result.durationMs);
        router.recordResult(routed.record, true, result.durationMs / costMs);
        return;
      case "failed":
        router.recordResult(routed.record, false, 0);
        return;
      case "cancelled":
        router.cancelProbe(routed.record);
    }
  }

  /** Slots that this instance may use at once. */
  private budget(): number {
    const capacity = this.parts.router.capacity();
    return Math.max(
      LEAST_SLOTS,
      Math.round(OVERCOMMIT * capacity * this.parts.limitPart.of(capacity)),
    );
  }

  /**
   * Part of each upstream's limit that this instance may fill; all of it while the service has
   * room, because then a short overlap of instances costs less than a lost prefix home.
   */
  private ownPart(): number {
    const busy = this.inFlight >= BUSY * this.budget();
    return busy ? this.parts.limitPart.of(this.parts.router.capacity()) : 1;
  }
}
