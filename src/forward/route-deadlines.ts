import type { Route } from "./route.js";

/** Part of the longest deadline of a route that first attempts have at least; callers differ. */
const FIRST_PART = 0.75;
const MOST_ROUTES = 8_192;

/**
 * The longest deadline seen on each route, which first attempts come close to. A caller that comes
 * back after a refusal sends what is left of it, and its target counts from the first attempt.
 */
export class RouteDeadlines {
  private readonly longest = new Map<string, number>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): RouteDeadlines {
    return new RouteDeadlines();
  }

  /** Least time since the first attempt of a request in ms; 0 for what may be a first attempt. */
  elapsedMs(route: Route, deadlineMs: number | undefined): number {
    if (deadlineMs === undefined) return 0;
    const known = this.longest.get(route.name) ?? 0;
    if (deadlineMs > known && this.longest.size < MOST_ROUTES) {
      this.longest.set(route.name, deadlineMs);
    }
    return Math.max(0, FIRST_PART * known - deadlineMs);
  }
}
