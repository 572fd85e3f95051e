import type { Route } from "./route.js";

/**
 * Smallest deadline of a first attempt, as a share of the longest deadline of its route; below 1
 * because callers use different deadlines.
 */
const FIRST_ATTEMPT_MIN_SHARE = 0.75;
const MAX_ROUTES = 8_192;

/**
 * Longest deadline seen on each route, used to tell retries from first attempts. A caller that
 * retries after a refusal sends the time left of its deadline, and its latency target counts from
 * its first attempt.
 */
export class RouteDeadlines {
  private readonly longestByRoute = new Map<string, number>();

  private constructor() {
    // Use `create`.
  }

  static create(): RouteDeadlines {
    return new RouteDeadlines();
  }

  /** Lower bound of the ms since the first attempt; 0 if this may be the first attempt. */
  elapsedMs(route: Route, deadlineMs: number | undefined): number {
    if (deadlineMs === undefined) return 0;
    const longestMs = this.longestByRoute.get(route.name) ?? 0;
    if (deadlineMs > longestMs && this.longestByRoute.size < MAX_ROUTES) {
      this.longestByRoute.set(route.name, deadlineMs);
    }
    return Math.max(0, FIRST_ATTEMPT_MIN_SHARE * longestMs - deadlineMs);
  }
}
