/** Part of the service time that a cached prefix saves. */
const PREFILL_SHARE = 0.2;
/** Slowdown of an upstream at its limit, as part of the service time. */
const BATCH_SLOWDOWN = 0.4;
/** Penalty for crossing a link of cost 1. */
const LINK_COST_MS = 5;
const MIN_SUCCESS_SHARE = 0.02;

/** What is known of a candidate; times in ms. */
export interface ScoreInput {
  /** Service time of the work on an average upstream. */
  readonly costMs: number;
  /** Service time of the upstream as a multiple of the average. */
  readonly ratio: number;
  /** Work that is expected to be in progress there. */
  readonly load: number;
  /** Work that it runs at once. */
  readonly capacity: number;
  readonly delayMs: number;
  readonly linkCost: number;
  /** Probability that the prompt's prefix is cached. */
  readonly cached: number;
  readonly successShare: number;
  /** Part of its traffic during a slow start. */
  readonly ramp: number;
}

/** Expected time until the answer, in ms; failures count as repeated attempts. */
export function score(input: ScoreInput): number {
  const { costMs, ratio, load, capacity, cached } = input;
  const batch = Math.min(1, load / capacity);
  const queued = Math.max(0, load + 1 - capacity) / capacity;
  const service = costMs * ratio * (1 + BATCH_SLOWDOWN * batch + queued - PREFILL_SHARE * cached);
  const link = 2 * input.delayMs + LINK_COST_MS * input.linkCost;
  return service / (input.ramp * Math.max(MIN_SUCCESS_SHARE, input.successShare)) + link;
}
