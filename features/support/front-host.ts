import { FrontDaemon } from "../../src/daemon/front-daemon.js";
import type { RowDecoder } from "../../src/forward/row-decoder.js";
import { frontSettingsSchema } from "../../src/settings/front-settings.js";
import { PlatformRowDecoder } from "../../platform/platform-row-decoder.js";
import { RequestDialect } from "../../platform/request-dialect.js";
import { StoreClient } from "../../platform/store-client.js";
import { SystemTimers } from "../../src/time/system-timers.js";
import { FaultLink } from "../../standin/fault-link.js";
import { freePorts } from "../../standin/free-ports.js";
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
  /** Proxies between the daemon and its upstreams, by address of the upstream. */
  readonly upstreamLinks: ReadonlyMap<string, FaultLink>;
}

/** Runs daemons in this process against a simulated platform on loopback. */
export class FrontHost {
  readonly daemons: RunningDaemon[] = [];
  private sequence = 0;
  private started = 0;

  private constructor(readonly site: PlatformSite) {}

  static async create(ids: readonly string[], ownLinks = false): Promise<FrontHost> {
    const host = new FrontHost(await PlatformSite.create(ids, KEY));
    await host.startDaemon(ownLinks);
    return host;
  }

  get first(): RunningDaemon {
    const [first] = this.daemons;
    if (first === undefined) throw new Error("no daemon was started");
    return first;
  }

  /** With `ownLinks`, the daemon reaches each upstream of the site through a proxy of its own. */
  async startDaemon(ownLinks = false): Promise<RunningDaemon> {
    const { site } = this;
    const upstreamLinks = new Map<string, FaultLink>();
    for (const { address, port } of ownLinks ? site.upstreams : []) {
      const [ownPort] = await freePorts(1);
      upstreamLinks.set(address, await FaultLink.create(SystemTimers.create(), port, ownPort));
    }
    const free = await PlatformSite.daemonPorts();
    const storeLink = await FaultLink.create(SystemTimers.create(), site.storePort);
    const ports = { ...free, store: storeLink.port };
    const id = `i${this.started}`;
    this.started += 1;
    const settings = frontSettingsSchema.parse(site.settingsOf(id, ports, "error"));
    const daemon = FrontDaemon.create(settings, {
      dialect: RequestDialect.create(),
      rowDecoder: linkedDecoder(upstreamLinks),
      rowStore: ({ timers, forwardMetrics }) =>
        StoreClient.create({ timers, forwardMetrics, address: settings.store }),
    });
    const { callers, readiness, metrics } = ports;
    const running = { daemon, callers, readiness, metrics, storeLink, upstreamLinks };
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
    await Promise.all(ended.flatMap(linksOf).map((link) => link.stop()));
    await Promise.all(ended.map(() => this.startDaemon()));
  }

  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(({ daemon }) => daemon.close()));
    await Promise.all(this.daemons.flatMap(linksOf).map((link) => link.stop()));
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

function linksOf({ storeLink, upstreamLinks }: RunningDaemon): FaultLink[] {
  return [storeLink, ...upstreamLinks.values()];
}

/** Decodes rows so that the addresses of upstreams are those of the links to them. */
function linkedDecoder(links: ReadonlyMap<string, FaultLink>): RowDecoder {
  const decoder = PlatformRowDecoder.create();
  return {
    configuration: (key, text) => decoder.configuration(key, text),
    evacuation: (key) => decoder.evacuation(key),
    upstreamWrite: (id, text) => decoder.upstreamWrite(id, text),
    upstream: (id, text) => {
      const entry = decoder.upstream(id, text);
      const link = links.get(entry?.address ?? "");
      if (entry === undefined || link === undefined) return entry;
      return { ...entry, address: `127.0.0.1:${link.port}` };
    },
  };
}
