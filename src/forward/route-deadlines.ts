import type { Route } from "./route.js";

/** Part of a route's usual deadline below which a request is taken as a repeated one. */
const REPEATED_PART = 0.95;
const MOST_ROUTES = 8_192;

/**
 * The longest deadline seen on each route, which first attempts carry. A caller that comes back
 * after a refusal sends what is left of it, and its target counts from the first attempt.
 */
export class RouteDeadlines {
  private readonly longest = new Map<string, number>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): RouteDeadlines {
    return new RouteDeadlines();
  }

  /** Time since the first attempt of a request in ms; 0 for a first attempt. */
  elapsedMs(route: Route, deadlineMs: number | undefined): number {
    if (deadlineMs === undefined) return 0;
    const known = this.longest.get(route.name) ?? 0;
    if (deadlineMs > known && this.longest.size < MOST_ROUTES) {
      this.longest.set(route.name, deadlineMs);
    }
    return deadlineMs < REPEATED_PART * known ? known - deadlineMs : 0;
  }
}
