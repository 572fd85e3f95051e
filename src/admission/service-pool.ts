import type { Configuration } from "../configuration/configuration.js";
import type { DecisionLog } from "../decision/decision-log.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Routed } from "../routing/routed.js";
import type { Router } from "../routing/router.js";
import type { Timers } from "../time/timers.js";
import type { AttemptResult } from "./attempt-result.js";
import { Backlog } from "./backlog.js";
import type { DemandMeter } from "./demand-meter.js";
import type { Estimate } from "./estimate.js";
import { LearntCost } from "./learnt-cost.js";
import type { LimitPart } from "./limit-part.js";
import type { Pool } from "./pool.js";
import { refusal } from "./refusal.js";
import type { Slot } from "./slot.js";
import { Tier } from "./tier.js";
import { WaitingQueue } from "./waiting-queue.js";
import type { WaitingWork } from "./waiting-work.js";
import type { Work } from "./work.js";

const RETRY_PUMP_MS = 50;
const LEAST_SLOTS = 1;
const BUSY = 0.6;

/** What a pool needs. */
export interface ServicePoolParts {
  readonly service: string;
  readonly timers: Timers;
  readonly configuration: () => Configuration | undefined;
  readonly decisionLog: DecisionLog;
  readonly router: Router;
  readonly limitPart: LimitPart;
  readonly demandSource: DemandMeter;
}

/** Admission and routing for one service: a short ranked queue in front of the router. */
export class ServicePool implements Pool {
  private readonly queue: WaitingQueue;
  private readonly exclusive: WaitingWork[] = [];
  private readonly backlog = Backlog.create();
  private readonly cost = LearntCost.create();
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
      const refused = refusal(work, this.timeLeft(work), [this.estimate(work, tier)]);
      if (refused !== undefined) return Promise.reject(this.refused(work, refused));
      if (repeated) this.backlog.add(work, tier, costMs);
      else this.reserve(work, tier);
    }
    if (!this.parts.router.possible(work)) {
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
    const serviceMs = this.cost.cautious(work.costMs);
    const budget = this.budget();
    const ahead = this.backlog.ahead(work, tier);
    const before = this.backlog.before(work, tier, costMs);
    if (ahead + before === 0 && this.inFlight < budget) return { waitMs: 0, serviceMs };
    const available = this.queue.available(work, tier, budget, now);
    return { waitMs: ahead / budget + before / (budget * available), serviceMs };
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
    const timeout = this.parts.timers.after(this.timeLeft(work), () => {
      leave(ServeError.create(ErrorKind.DeadlineExceeded, "the deadline passed in the queue"));
    });
    signal.addEventListener("abort", abort, { once: true });
    const item: WaitingWork = {
      work,
      tier,
      costMs,
      abandoned: false,
      start: (routed) => {
        signal.removeEventListener("abort", abort);
        timeout.cancel();
        this.backlog.remove(work);
        resolve(this.slot(work, costMs, routed));
      },
    };
    if (work.exclusive === true) this.exclusive.push(item);
    else this.queue.push(item);
  }

  private pump(): void {
    this.startExclusive();
    const now = this.parts.timers.now();
    while (this.inFlight < this.budget()) {
      const item = this.queue.pop(now);
      if (item === undefined) return;
      const routed = this.parts.router.choose(item.work, item.costMs, this.ownPart());
      if (routed === undefined) {
        this.queue.push(item);
        if (this.inFlight === 0) this.pumpLater();
        return;
      }
      item.start(routed);
    }
  }

  private startExclusive(): void {
    while (this.exclusive[0]?.abandoned === true) this.exclusive.shift();
    const [item] = this.exclusive;
    if (item === undefined) return;
    const routed = this.parts.router.chooseAlone(item.work);
    if (routed === undefined) {
      if (this.inFlight === 0) this.pumpLater();
      return;
    }
    this.exclusive.shift();
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

  private slot(work: Work, costMs: number, routed: Routed): Slot {
    const { record } = routed;
    this.inFlight += 1;
    record.inFlight += 1;
    this.queue.serve(work, costMs, this.parts.timers.now());
    this.log(work, routed);
    return {
      upstream: record.upstream,
      release: (result) => {
        this.inFlight -= 1;
        record.inFlight -= 1;
        if (work.exclusive === true) record.reserved = false;
        this.learn(work, costMs, routed, result);
        this.pump();
      },
    };
  }

  private learn(work: Work, costMs: number, routed: Routed, result: AttemptResult): void {
    const { router } = this.parts;
    switch (result.kind) {
      case "succeeded":
        this.cost.learn(work.costMs, result.durationMs);
        router.finished(routed.record, true, result.durationMs / costMs);
        return;
      case "failed":
        router.finished(routed.record, false, 0);
        return;
      case "cancelled":
        router.cancelled(routed.record);
    }
  }

  /** Slots that this instance may use at once. */
  private budget(): number {
    const capacity = this.parts.router.capacity();
    return Math.max(LEAST_SLOTS, Math.round(capacity * this.parts.limitPart.of(capacity)));
  }

  /**
   * Part of each upstream's limit that this instance may fill; all of it while the service has
   * room, because then a short overlap of instances costs less than a lost prefix home.
   */
  private ownPart(): number {
    const busy = this.inFlight >= BUSY * this.budget();
    return busy ? this.parts.limitPart.of(this.parts.router.capacity()) : 1;
  }

  private timeLeft(work: Work): number {
    return work.deadline - this.parts.timers.now();
  }

  private refused(work: Work, error: ServeError): ServeError {
    const { request, team, className, stage } = work;
    const retryAfterMs = error.retryAfterMs ?? 0;
    const head = { request, team, className, stage };
    this.parts.decisionLog.write({ kind: "refuse", ...head, reason: error.kind, retryAfterMs });
    return error;
  }

  private log(work: Work, routed: Routed): void {
    const { request, team, className, stage } = work;
    const { candidates, reason, record } = routed;
    const head = { request, team, className, stage };
    const choice = record.upstream.id;
    this.parts.decisionLog.write({ kind: "route", ...head, candidates, choice, reason });
  }
}
