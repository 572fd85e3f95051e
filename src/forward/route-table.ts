import type { Route } from "./route.js";

/** Finds the route of a request by host and longest path prefix. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  private constructor(routes: readonly Route[]) {
    const longestFirst = [...routes].sort((a, b) => b.prefix.length - a.prefix.length);
    for (const route of longestFirst) {
      const known = this.byHost.get(route.host);
      if (known === undefined) this.byHost.set(route.host, [route]);
      else known.push(route);
    }
  }

  static create(routes: readonly Route[]): RouteTable {
    return new RouteTable(routes);
  }

  /** `host` may carry a port; `target` is the request target with its query. */
  find(host: string, target: string): Route | undefined {
    const name = host.replace(/:\d+$/, "").toLowerCase();
    const path = target.split("?", 1)[0] ?? "";
    return this.byHost.get(name)?.find(({ prefix }) => path.startsWith(prefix));
  }
}
