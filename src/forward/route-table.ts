import type { Route } from "./route.js";

/** Finds the route of a request by host and longest path prefix. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();

  private constructor(routes: readonly Route[]) {
    const longestFirst = [...routes].sort((a, b) => b.prefix.length - a.prefix.length);
    for (const route of longestFirst) {
      const hostRoutes = this.routesByHost.get(route.host);
      if (hostRoutes === undefined) this.routesByHost.set(route.host, [route]);
      else hostRoutes.push(route);
    }
  }

  static create(routes: readonly Route[]): RouteTable {
    return new RouteTable(routes);
  }

  /** `host` may include a port; `target` is the request target including its query string. */
  find(host: string, target: string): Route | undefined {
    const name = host.replace(/:\d+$/, "").toLowerCase();
    const path = target.split("?", 1)[0] ?? "";
    return this.routesByHost.get(name)?.find(({ prefix }) => path.startsWith(prefix));
  }
}
