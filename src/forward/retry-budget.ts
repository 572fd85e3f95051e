import type { Timers } from "../time/timers.js";

/** Share of the budget that is used; the rest covers instances that disagree on the fleet size. */
const SAFETY_FACTOR = 0.7;
const BUCKET_COUNT = 10;

/** Limits of retries over the whole fleet. */
export interface RetryBudgetLimits {
  /** Retries per request of a service. */
  readonly ratio: number;
  /** Retries allowed in one window in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

interface BucketCounts {
  requests: number;
  retries: number;
}

/**
 * This instance's share of the retry budget of the fleet. Limits the load when a fault makes every
 * instance retry at the same time.
 */
export class RetryBudget {
  private readonly services = new Map<string, Map<number, BucketCounts>>();
  private maxInstanceCount = 1;

  private constructor(
    private readonly timers: Timers,
    private readonly limits: RetryBudgetLimits,
    private readonly liveInstances: () => number,
  ) {}

  static create(parts: {
    timers: Timers;
    retryBudgetLimits: RetryBudgetLimits;
    liveInstances: () => number;
  }): RetryBudget {
    return new RetryBudget(parts.timers, parts.retryBudgetLimits, parts.liveInstances);
  }

  /** The most live instances seen so far; a smaller number may only be this instance's view. */
  get instanceCount(): number {
    this.maxInstanceCount = Math.max(this.maxInstanceCount, this.liveInstances());
    return this.maxInstanceCount;
  }

  /** Counts a first attempt at a service. */
  recordRequest(service: string): void {
    this.currentBucket(service).requests += 1;
  }

  /** Takes a retry from the budget; returns false if this instance's share is spent. */
  tryTakeRetry(service: string): boolean {
    const { requests, retries } = this.total(service);
    const { ratio, slack } = this.limits;
    const allowed = SAFETY_FACTOR * (ratio * requests + slack / this.instanceCount);
    if (retries + 1 > allowed) return false;
    this.currentBucket(service).retries += 1;
    return true;
  }

  private total(service: string): BucketCounts {
    const oldest = this.position() - BUCKET_COUNT;
    const total = { requests: 0, retries: 0 };
    for (const [bucketIndex, count] of this.services.get(service) ?? []) {
      if (bucketIndex <= oldest) continue;
      total.requests += count.requests;
      total.retries += count.retries;
    }
    return total;
  }

  private currentBucket(service: string): BucketCounts {
    const buckets = this.services.get(service) ?? new Map<number, BucketCounts>();
    this.services.set(service, buckets);
    const position = this.position();
    let count = buckets.get(position);
    if (count === undefined) {
      for (const old of buckets.keys()) if (old <= position - BUCKET_COUNT) buckets.delete(old);
      count = { requests: 0, retries: 0 };
      buckets.set(position, count);
    }
    return count;
  }

  private position(): number {
    return Math.floor((this.timers.now() * BUCKET_COUNT) / this.limits.windowMs);
  }
}
