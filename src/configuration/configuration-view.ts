import type { Subscription } from "../time/subscription.js";
import { Configuration } from "./configuration.js";

/** The configuration in force at this instance; it moves to higher versions only. */
export class ConfigurationView {
  private current: Configuration | undefined;
  private readonly handlers = new Set<(configuration: Configuration) => void>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): ConfigurationView {
    return new ConfigurationView();
  }

  /** The configuration in force; undefined until the first version was adopted. */
  get configuration(): Configuration | undefined {
    return this.current;
  }

  /** The version in force; 0 until the first version was adopted. */
  get version(): number {
    return this.current?.version ?? 0;
  }

  /** Puts a configuration in force; returns false and keeps the current one unless it is higher. */
  adopt(configuration: Configuration): boolean {
    if (configuration.version <= this.version) return false;
    this.current = configuration;
    for (const handler of this.handlers) handler(configuration);
    return true;
  }

  /** Calls `handler` with each configuration that is put in force from now on. */
  subscribe(handler: (configuration: Configuration) => void): Subscription {
    this.handlers.add(handler);
    return {
      cancel: () => {
        this.handlers.delete(handler);
      },
    };
  }
}
