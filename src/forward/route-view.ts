import type { Subscription } from "../time/subscription.js";
import type { ForwardConfiguration } from "./forward-configuration.js";
import { RouteTable } from "./route-table.js";

/** The configuration in force at this instance; it moves to higher versions only. */
export class RouteView {
  private active: { configuration: ForwardConfiguration; table: RouteTable } | undefined;
  private readonly handlers = new Set<(configuration: ForwardConfiguration) => void>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): RouteView {
    return new RouteView();
  }

  /** Undefined until the first version was adopted. */
  get configuration(): ForwardConfiguration | undefined {
    return this.active?.configuration;
  }

  get routes(): RouteTable | undefined {
    return this.active?.table;
  }

  /** The version in force; 0 until the first version was adopted. */
  get version(): number {
    return this.active?.configuration.version ?? 0;
  }

  /** Returns false and keeps the current configuration unless the given one is higher. */
  adopt(configuration: ForwardConfiguration): boolean {
    if (configuration.version <= this.version) return false;
    this.active = { configuration, table: RouteTable.create(configuration.routes) };
    for (const handler of this.handlers) handler(configuration);
    return true;
  }

  subscribe(handler: (configuration: ForwardConfiguration) => void): Subscription {
    this.handlers.add(handler);
    return {
      cancel: () => {
        this.handlers.delete(handler);
      },
    };
  }
}
