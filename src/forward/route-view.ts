import type { Subscription } from "../time/subscription.js";
import type { ForwardConfiguration } from "./forward-configuration.js";
import { RouteTable } from "./route-table.js";

/** The active configuration of this instance; its version only increases. */
export class RouteView {
  private active: { configuration: ForwardConfiguration; table: RouteTable } | undefined;
  private readonly handlers = new Set<(configuration: ForwardConfiguration) => void>();

  private constructor() {
    // Use `create`.
  }

  static create(): RouteView {
    return new RouteView();
  }

  /** Undefined until a version has been adopted. */
  get configuration(): ForwardConfiguration | undefined {
    return this.active?.configuration;
  }

  get routes(): RouteTable | undefined {
    return this.active?.table;
  }

  /** The active version; 0 until a version has been adopted. */
  get version(): number {
    return this.active?.configuration.version ?? 0;
  }

  /**
   * Adopts a configuration, unless it is older; then it returns false. The same version may name
   * another content after the store came back from a copy.
   */
  adopt(configuration: ForwardConfiguration): boolean {
    if (configuration.version < this.version) return false;
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
