import type { ConsolaInstance } from "consola";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { ConfigurationHistory } from "./configuration-history.js";
import type { ConfigurationView } from "./configuration-view.js";

const READ_INTERVAL_MS = 1_000;

interface Parts {
  readonly timers: Timers;
  readonly configurationHistory: ConfigurationHistory;
  readonly configurationView: ConfigurationView;
  readonly log: ConsolaInstance;
}

/** Brings the view to the newest version in the table. */
export class ConfigurationFollower {
  private subscription: Subscription | undefined;
  private reading = false;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): ConfigurationFollower {
    return new ConfigurationFollower(parts);
  }

  async start(): Promise<void> {
    await this.read();
    this.subscription = this.parts.timers.every(READ_INTERVAL_MS, () => void this.read());
  }

  stop(): void {
    this.subscription?.cancel();
  }

  private async read(): Promise<void> {
    if (this.reading) return;
    this.reading = true;
    const { configurationHistory, configurationView, log } = this.parts;
    try {
      const head = await configurationHistory.head();
      if (head === undefined || head.version <= configurationView.version) return;
      const newest = await configurationHistory.newest();
      if (newest !== undefined && configurationView.adopt(newest)) {
        log.info({ message: "configuration in force", version: newest.version });
      }
    } catch (error) {
      log.warn({ message: "cannot read the configuration", detail: String(error) });
    } finally {
      this.reading = false;
    }
  }
}
