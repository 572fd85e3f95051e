import { FrontDaemon } from "../../src/daemon/front-daemon.js";
import { frontSettingsSchema } from "../../src/settings/front-settings.js";
import { PlatformRowDecoder } from "../../platform/platform-row-decoder.js";
import { RequestDialect } from "../../platform/request-dialect.js";
import { StoreClient } from "../../platform/store-client.js";
import { SystemTimers } from "../../src/time/system-timers.js";
import { FaultLink } from "../../standin/fault-link.js";
import {
  type PlatformAnswer,
  type PlatformRequest,
  askPlatform,
} from "../../standin/platform-caller.js";
import { PlatformSite } from "../../standin/platform-site.js";

const KEY = "key-1";
const READY_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 50;

/** A running daemon and the ports on which it listens. */
interface RunningDaemon {
  readonly daemon: FrontDaemon;
  readonly callers: number;
  readonly readiness: number;
  readonly metrics: number;
  /** Proxy between the daemon and the store, in which faults can be injected. */
  readonly storeLink: FaultLink;
}

/** Runs daemons in this process against a simulated platform on loopback. */
export class FrontHost {
  readonly daemons: RunningDaemon[] = [];
  private sequence = 0;
  private started = 0;

  private constructor(readonly site: PlatformSite) {}

  static async create(ids: readonly string[]): Promise<FrontHost> {
    const host = new FrontHost(await PlatformSite.create(ids, KEY));
    await host.startDaemon();
    return host;
  }

  get first(): RunningDaemon {
    const [first] = this.daemons;
    if (first === undefined) throw new Error("no daemon was started");
    return first;
  }

  async startDaemon(): Promise<RunningDaemon> {
    const { site } = this;
    const free = await PlatformSite.daemonPorts();
    const storeLink = await FaultLink.create(SystemTimers.create(), site.storePort);
    const ports = { ...free, store: storeLink.port };
    const id = `i${this.started}`;
    this.started += 1;
    const settings = frontSettingsSchema.parse(site.settingsOf(id, ports, "error"));
    const daemon = FrontDaemon.create(settings, {
      dialect: RequestDialect.create(),
      rowDecoder: PlatformRowDecoder.create(),
      rowStore: ({ timers, forwardMetrics }) =>
        StoreClient.create({ timers, forwardMetrics, address: settings.store }),
    });
    const { callers, readiness, metrics } = ports;
    const running = { daemon, callers, readiness, metrics, storeLink };
    this.daemons.push(running);
    await daemon.start();
    await this.waitUntilReady(readiness);
    return running;
  }

  request(
    path: string,
    fields: Partial<PlatformRequest> = {},
    { callers }: RunningDaemon = this.first,
  ): Promise<PlatformAnswer> {
    this.sequence += 1;
    return askPlatform({ port: callers, path, id: `r${this.sequence}`, key: KEY, ...fields });
  }

  /** Ends all daemons at the same moment and starts as many new ones, which know nothing. */
  async replaceAll(): Promise<void> {
    const ended = this.daemons.splice(0);
    await Promise.all(ended.map(({ daemon }) => daemon.close()));
    await Promise.all(ended.map(({ storeLink }) => storeLink.stop()));
    await Promise.all(ended.map(() => this.startDaemon()));
  }

  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(({ daemon }) => daemon.close()));
    await Promise.all(this.daemons.map(({ storeLink }) => storeLink.stop()));
    await this.site.stop();
  }

  private async waitUntilReady(port: number): Promise<void> {
    const end = Date.now() + READY_TIMEOUT_MS;
    while (!(await PlatformSite.isReady(port))) {
      if (Date.now() > end) throw new Error("the daemon did not become ready");
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }
}
