import type { Route } from "./route.js";

/** Part of the longest deadline of a route that first attempts have at least; callers differ. */
const FIRST_ATTEMPT_MIN_SHARE = 0.75;
const MAX_ROUTES = 8_192;

/**
 * The longest deadline seen on each route, which first attempts come close to. A caller that comes
 * back after a refusal sends what is left of it, and its target counts from the first attempt.
 */
export class RouteDeadlines {
  private readonly longestByRoute = new Map<string, number>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): RouteDeadlines {
    return new RouteDeadlines();
  }

  /** Least time since the first attempt of a request in ms; 0 for what may be a first attempt. */
  elapsedMs(route: Route, deadlineMs: number | undefined): number {
    if (deadlineMs === undefined) return 0;
    const longestMs = this.longestByRoute.get(route.name) ?? 0;
    if (deadlineMs > longestMs && this.longestByRoute.size < MAX_ROUTES) {
      this.longestByRoute.set(route.name, deadlineMs);
    }
    return Math.max(0, FIRST_ATTEMPT_MIN_SHARE * longestMs - deadlineMs);
  }
}
