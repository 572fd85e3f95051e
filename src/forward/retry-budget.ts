import type { Timers } from "../time/timers.js";

/** Share of the budget in use; the rest covers instances that disagree on the fleet size. */
const SAFETY_FACTOR = 0.7;
const BUCKET_COUNT = 10;

/** Retry limits for the whole fleet. */
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
  private readonly bucketsByService = new Map<string, Map<number, BucketCounts>>();
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

  /** Maximum number of live instances seen; a lower count may be a partial view of the fleet. */
  get instanceCount(): number {
    this.maxInstanceCount = Math.max(this.maxInstanceCount, this.liveInstances());
    return this.maxInstanceCount;
  }

  /** Counts the first attempt of a request to a service. */
  recordRequest(service: string): void {
    this.currentBucket(service).requests += 1;
  }

  /** Takes a retry from the budget; returns false if this instance's share is exhausted. */
  tryTakeRetry(service: string): boolean {
    const { requests, retries } = this.sumBuckets(service);
    const { ratio, slack } = this.limits;
    const allowed = SAFETY_FACTOR * (ratio * requests + slack / this.instanceCount);
    if (retries + 1 > allowed) return false;
    this.currentBucket(service).retries += 1;
    return true;
  }

  private sumBuckets(service: string): BucketCounts {
    const expiredIndex = this.currentBucketIndex() - BUCKET_COUNT;
    const total = { requests: 0, retries: 0 };
    for (const [bucketIndex, counts] of this.bucketsByService.get(service) ?? []) {
      if (bucketIndex <= expiredIndex) continue;
      total.requests += counts.requests;
      total.retries += counts.retries;
    }
    return total;
  }

  private currentBucket(service: string): BucketCounts {
    const buckets = this.bucketsByService.get(service) ?? new Map<number, BucketCounts>();
    this.bucketsByService.set(service, buckets);
    const bucketIndex = this.currentBucketIndex();
    let counts = buckets.get(bucketIndex);
    if (counts === undefined) {
      for (const otherIndex of buckets.keys())
        if (otherIndex <= bucketIndex - BUCKET_COUNT) buckets.delete(otherIndex);
      counts = { requests: 0, retries: 0 };
      buckets.set(bucketIndex, counts);
    }
    return counts;
  }

  private currentBucketIndex(): number {
    return Math.floor((this.timers.now() * BUCKET_COUNT) / this.limits.windowMs);
  }
}
