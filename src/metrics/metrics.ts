import { StatsD } from "hot-shots";
import type { ConsolaInstance } from "consola";
import type { Settings } from "../settings/settings.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import { AttainmentWindow, type ClassAttainment } from "./attainment-window.js";
import type { RequestOutcome } from "./request-outcome.js";
import type { StageCost } from "./stage-cost.js";

const PROCESS_INTERVAL_MS = 10_000;
const MICROSECONDS_PER_MS = 1_000;

interface Parts {
  readonly settings: Settings;
  readonly timers: Timers;
  readonly log: ConsolaInstance;
}

/** Sends metrics by StatsD, and keeps what `status` shows. */
export class Metrics {
  private readonly window: AttainmentWindow;
  private subscription: Subscription | undefined;
  private processor = process.cpuUsage();

  private constructor(
    /** Absent if no receiver is set; a client would hold a socket all the same. */
    private readonly client: StatsD | undefined,
    private readonly timers: Timers,
  ) {
    this.window = AttainmentWindow.create(timers);
  }

  static create(parts: Parts): Metrics {
    const { metrics, instance } = parts.settings;
    if (metrics === undefined) return new Metrics(undefined, parts.timers);
    const client = new StatsD({
      ...metrics,
      globalTags: { instance: instance.id, data_centre: instance.dataCentre },
      errorHandler: (error) => {
        parts.log.debug({ message: "cannot send metrics", detail: error.message });
      },
    });
    return new Metrics(client, parts.timers);
  }

  /** Starts to report the memory and processor time of this process. */
  start(): void {
    this.subscription = this.timers.every(PROCESS_INTERVAL_MS, () => {
      this.reportProcess();
    });
  }

  /** Sends what is buffered and closes the socket. */
  async stop(): Promise<void> {
    this.subscription?.cancel();
    const { client } = this;
    if (client === undefined) return;
    await new Promise<void>((resolve) => {
      client.close(() => {
        resolve();
      });
    });
  }

  requestEnded(outcome: RequestOutcome): void {
    const { className, rank, team, durationMs, attained, error } = outcome;
    const tags = { class: className, rank, attained: String(attained) };
    this.window.add(className, attained, durationMs);
    this.client?.increment("request", 1, { ...tags, team, error: error ?? "none" });
    this.client?.timing("request.duration", durationMs, tags);
  }

  attemptEnded(cost: StageCost): void {
    const { stage, service, durationMs, linkCost, extra } = cost;
    const tags = { stage, service, extra: String(extra) };
    this.client?.timing("stage.duration", durationMs, tags);
    this.client?.increment("stage.link_cost", linkCost, tags);
  }

  /** Counts bytes that this instance sent to or received from other instances and the platform. */
  controlBytes(count: number): void {
    this.client?.increment("control.bytes", count);
  }

  /** Attainment of each class in the last minutes. */
  attainment(): ClassAttainment[] {
    return this.window.classes();
  }

  private reportProcess(): void {
    const used = process.cpuUsage(this.processor);
    this.processor = process.cpuUsage();
    const busyMs = (used.user + used.system) / MICROSECONDS_PER_MS;
    this.client?.gauge("process.cpu_share", busyMs / PROCESS_INTERVAL_MS);
    this.client?.gauge("process.memory_bytes", process.memoryUsage.rss());
  }
}
