import { LRUCache } from "lru-cache";
import type { Timers } from "../time/timers.js";

/** Bounds memory; an instance at 50 requests per second sees fewer parts within the lifetime. */
const MAX_PARTS = 16_384;
/** Time for which a response to a part clears it of a crash. */
const LIFETIME_MS = 60_000;

/** Prompt parts to which responses arrived recently at this instance. */
export class AnsweredParts {
  private readonly answeredMs = new LRUCache<string, number>({ max: MAX_PARTS });

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): AnsweredParts {
    return new AnsweredParts(timers);
  }

  record(service: string, parts: readonly string[]): void {
    const now = this.timers.now();
    for (const part of parts) this.answeredMs.set(`${service} ${part}`, now);
  }

  has(service: string, part: string): boolean {
    const answeredMs = this.answeredMs.get(`${service} ${part}`) ?? -Infinity;
    return this.timers.now() - answeredMs <= LIFETIME_MS;
  }
}
