import { LRUCache } from "lru-cache";
import type { RandomSource } from "../src/random/random-source.js";
import type { Timers } from "../src/time/timers.js";
import { FakeService } from "./fake-service.js";
import type { FakeJob } from "./fake-upstream.js";

/** Time of a prefill that finds nothing in the cache, in ms. */
export const PREFILL_MS = 80;
const CACHED_PREFILL_MS = 10;
export const TOKEN_MS = 4;
/** Slowdown of each token per further request in the batch. */
export const BATCH_SLOWDOWN = 0.05;
const CACHED_PREFIXES = 8;

/** An engine with continuous batching, priorities and a small prefix cache. */
export class FakeEngine extends FakeService {
  private readonly cache = new LRUCache<string, true>({ max: CACHED_PREFIXES });

  static override create(
    timers: Timers,
    random: RandomSource,
    slots: number,
    serviceMs: number,
    reportMs: number,
  ): FakeEngine {
    return new FakeEngine(timers, random, slots, serviceMs, reportMs);
  }

  protected override timeOf(job: FakeJob, batch: number): number {
    const prefill = this.cache.get(job.prefix) === true ? CACHED_PREFILL_MS : PREFILL_MS;
    this.cache.set(job.prefix, true);
    return prefill + job.tokens * TOKEN_MS * (1 + BATCH_SLOWDOWN * (batch - 1));
  }
}
