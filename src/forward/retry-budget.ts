import type { Timers } from "../time/timers.js";

/** Part of the budget that is planned with; the rest covers views of the fleet that differ. */
const USED_PART = 0.7;
const BUCKETS = 10;

/** Limits of further attempts over the whole fleet. */
export interface RetryBudgetLimits {
  /** Further attempts per request of a service. */
  readonly ratio: number;
  /** Further attempts beside the ratio in one window. */
  readonly slack: number;
  readonly windowMs: number;
}

interface Count {
  requests: number;
  further: number;
}

/**
 * This instance's part of the budget that all instances share for further attempts. Answers the
 * load pattern of a fault that makes every instance retry at the same time.
 */
export class RetryBudget {
  private readonly services = new Map<string, Map<number, Count>>();
  private mostInstances = 1;

  private constructor(
    private readonly timers: Timers,
    private readonly bounds: RetryBudgetLimits,
    private readonly liveInstances: () => number,
  ) {}

  static create(parts: {
    timers: Timers;
    budgetBounds: RetryBudgetLimits;
    liveInstances: () => number;
  }): RetryBudget {
    return new RetryBudget(parts.timers, parts.budgetBounds, parts.liveInstances);
  }

  /** The most live instances seen so far; a smaller number may only be this instance's view. */
  get instanceCount(): number {
    this.mostInstances = Math.max(this.mostInstances, this.liveInstances());
    return this.mostInstances;
  }

  /** Counts a first attempt at a service. */
  recordRequest(service: string): void {
    this.bucket(service).requests += 1;
  }

  /** Takes a further attempt; returns false if this instance's part is spent. */
  tryTakeRetry(service: string): boolean {
    const { requests, further } = this.total(service);
    const { ratio, slack } = this.bounds;
    const allowed = USED_PART * (ratio * requests + slack / this.instanceCount);
    if (further + 1 > allowed) return false;
    this.bucket(service).further += 1;
    return true;
  }

  private total(service: string): Count {
    const oldest = this.position() - BUCKETS;
    const total = { requests: 0, further: 0 };
    for (const [position, count] of this.services.get(service) ?? []) {
      if (position <= oldest) continue;
      total.requests += count.requests;
      total.further += count.further;
    }
    return total;
  }

  private bucket(service: string): Count {
    const buckets = this.services.get(service) ?? new Map<number, Count>();
    this.services.set(service, buckets);
    const position = this.position();
    let count = buckets.get(position);
    if (count === undefined) {
      for (const old of buckets.keys()) if (old <= position - BUCKETS) buckets.delete(old);
      count = { requests: 0, further: 0 };
      buckets.set(position, count);
    }
    return count;
  }

  private position(): number {
    return Math.floor((this.timers.now() * BUCKETS) / this.bounds.windowMs);
  }
}
