import type { Timers } from "../src/time/timers.js";
import { DaemonProcess, DaemonProgram } from "../standin/daemon-process.js";
import { FaultLink } from "../standin/fault-link.js";
import { freePorts } from "../standin/free-ports.js";
import { LinkState } from "../standin/link-state.js";
import { PlatformSite } from "../standin/platform-site.js";
import { StoreMode } from "../standin/platform-store.js";
import type { PlatformUpstream, SeenRequest } from "../standin/platform-upstream.js";
import { UpstreamMode } from "../standin/upstream-mode.js";
import { LinkSide } from "./soak-fault.js";
import { TroubleLog } from "./trouble-log.js";

const READY_MS = 10_000;
const POLL_MS = 50;
const FIRST_KEY = "key-0";
const VERSIONS = ["v1", "v2"];

/** A daemon and the links before and behind it. */
interface SoakInstance {
  readonly daemon: DaemonProcess;
  /** Port that tells whether it is ready. */
  readonly readiness: number;
  readonly links: Readonly<Record<LinkSide.Callers | LinkSide.Store, FaultLink>>;
  /** Its own links to the upstreams. */
  readonly upstreamLinks: readonly FaultLink[];
}

/** A key and the time at which the store had it as the only one, in ms since the epoch. */
export interface KeyChange {
  readonly key: string;
  readonly fromMs: number;
}

/** An upstream that registered as leaving; times are in ms since the epoch. */
export interface Leaving {
  readonly upstream: string;
  readonly fromMs: number;
}

/** Daemons as processes before stand-ins of store and upstreams, with links between them. */
export class SoakFleet {
  readonly troubles = TroubleLog.create();
  readonly keys: KeyChange[] = [];
  readonly leavings: Leaving[] = [];
  private replaced = 0;

  private constructor(
    private readonly timers: Timers,
    readonly site: PlatformSite,
    private readonly upstreamLinks: readonly FaultLink[],
    readonly instances: readonly SoakInstance[],
  ) {
    this.noteKey(FIRST_KEY);
  }

  /** Starts everything and resolves when all daemons are ready. */
  static async create(
    timers: Timers,
    directory: string,
    size: { readonly daemons: number; readonly upstreams: number },
  ): Promise<SoakFleet> {
    const ids = Array.from({ length: size.upstreams }, (_, at) => `u${at}`);
    const links = new Map<number, FaultLink>();
    const site = await PlatformSite.create(ids, FIRST_KEY, async (port) => {
      const link = await FaultLink.create(timers, port);
      links.set(port, link);
      return link.port;
    });
    const upstreamLinks = site.upstreams.flatMap(({ port }) => links.get(port) ?? []);
    for (const [at, upstream] of site.upstreams.entries()) {
      upstream.version = VERSIONS[at % VERSIONS.length];
      site.register(upstream);
    }
    const instances: SoakInstance[] = [];
    const fleet = new SoakFleet(timers, site, upstreamLinks, instances);
    for (let at = 0; at < size.daemons; at += 1) {
      instances.push(await startInstance(timers, directory, `i${at}`, site));
    }
    await fleet.untilReady();
    return fleet;
  }

  /** The key that the newest configuration has. */
  get key(): string {
    return this.keys.at(-1)?.key ?? "";
  }

  link(side: LinkSide, target: number): FaultLink {
    const links = this.instances[target]?.links;
    const link = side === LinkSide.Upstream ? this.upstreamLinks[target] : links?.[side];
    if (link === undefined) throw new Error(`no link ${side} ${target}`);
    return link;
  }

  /** The links of one daemon to all upstreams. */
  upstreamLinksOf(target: number): readonly FaultLink[] {
    return this.instances[target]?.upstreamLinks ?? [];
  }

  get daemons(): number {
    return this.instances.length;
  }

  /** Requests that reached upstreams. */
  get seen(): SeenRequest[] {
    return this.site.upstreams.flatMap(({ seen }) => seen);
  }

  /** Requests that upstreams ran. */
  get ran(): SeenRequest[] {
    return this.site.upstreams.flatMap(({ ran }) => ran);
  }

  /** Processes that ended although nobody asked them to. */
  get ownEnds(): string[] {
    return this.instances.flatMap(({ daemon }, at) =>
      daemon.ownEnds.map((each) => `i${at} ended by itself: ${each}`),
    );
  }

  /** Replaces the key of the team; the store has the change when this returns. */
  changeKey(): void {
    const key = `key-${this.keys.length}`;
    this.site.configure(key);
    this.noteKey(key);
  }

  /** Registers an upstream as leaving. */
  leave(target: number): void {
    const upstream = this.upstream(target);
    this.site.leave(upstream);
    this.leavings.push({ upstream: upstream.id, fromMs: this.timers.wallClock() });
  }

  /** Has an upstream that left begin anew, at the same address with another id and version. */
  rejoin(target: number): void {
    this.replaced += 1;
    this.upstream(target).version = VERSIONS[(target + this.replaced) % VERSIONS.length];
    this.site.replace(this.upstream(target), `u${target}-${this.replaced}`);
  }

  /** Ends all disturbances and starts the daemons that are down. */
  async heal(): Promise<void> {
    this.site.store.mode = StoreMode.Serving;
    for (const upstream of this.site.upstreams) {
      upstream.mode = UpstreamMode.Serving;
      upstream.requestLimit = undefined;
    }
    for (const link of this.links) link.state = LinkState.Open;
    for (const { daemon } of this.instances) {
      daemon.signal("SIGCONT");
      if (!daemon.running) daemon.start();
    }
    await this.untilReady();
  }

  async stop(): Promise<void> {
    await Promise.all(this.instances.map(({ daemon }) => daemon.end("SIGKILL")));
    await Promise.all(this.links.map((link) => link.stop()));
    await this.site.stop();
  }

  private upstream(target: number): PlatformUpstream {
    const upstream = this.site.upstreams[target];
    if (upstream === undefined) throw new Error(`no upstream ${target}`);
    return upstream;
  }

  private noteKey(key: string): void {
    this.keys.push({ key, fromMs: this.timers.wallClock() });
  }

  private get links(): FaultLink[] {
    const own = this.instances.flatMap(({ links, upstreamLinks }) => [
      ...Object.values(links),
      ...upstreamLinks,
    ]);
    return [...own, ...this.upstreamLinks];
  }

  private async untilReady(): Promise<void> {
    const end = this.timers.now() + READY_MS;
    for (const { readiness } of this.instances) {
      while (!(await PlatformSite.isReady(readiness))) {
        if (this.timers.now() > end) throw new Error("a daemon did not become ready");
        await this.timers.sleep(POLL_MS);
      }
    }
  }
}

async function startInstance(
  timers: Timers,
  directory: string,
  id: string,
  site: PlatformSite,
): Promise<SoakInstance> {
  const ports = await PlatformSite.daemonPorts();
  const [viewPort = 0, ...ownPorts] = await freePorts(1 + site.upstreams.length);
  const upstreamLinks: FaultLink[] = [];
  const addresses = new Map<string, string>();
  for (const [at, { address }] of site.upstreams.entries()) {
    const link = await FaultLink.create(timers, Number(address.split(":")[1]), ownPorts[at]);
    upstreamLinks.push(link);
    addresses.set(address, `127.0.0.1:${link.port}`);
  }
  await site.store.listenWith(viewPort, addresses);
  const links = {
    [LinkSide.Callers]: await FaultLink.create(timers, ports.callers),
    [LinkSide.Store]: await FaultLink.create(timers, viewPort),
  };
  const settings = site.settingsOf(id, { ...ports, store: links[LinkSide.Store].port }, "info");
  const daemon = await DaemonProcess.create(DaemonProgram.Platform, directory, id, settings);
  return { daemon, readiness: ports.readiness, links, upstreamLinks };
}
