import type { Timers } from "../src/time/timers.js";
import { freePorts } from "../standin/free-ports.js";
import { platformConfiguration } from "../standin/platform-configuration.js";
import { PlatformStore, StoreMode } from "../standin/platform-store.js";
import { PlatformUpstream, UpstreamMode } from "../standin/platform-upstream.js";
import { FaultLink } from "./fault-link.js";
import { LinkState } from "./link-state.js";
import { SoakDaemon } from "./soak-daemon.js";
import { LinkSide } from "./soak-fault.js";
import { TroubleLog } from "./trouble-log.js";

const VERSION_STEP = 3;
const READY_MS = 10_000;
const POLL_MS = 50;
/** Time within which a leaving upstream gets no new work, as the settings state it. */
export const DRAIN_MS = 2_000;
/** Time from SIGTERM to SIGKILL, as the settings state it. */
export const GRACE_MS = 8_000;

interface Addresses {
  readonly callers: number;
  readonly readiness: number;
  readonly peers: number;
  readonly metrics: number;
}

/** A daemon and the links before and behind it. */
interface SoakInstance {
  readonly daemon: SoakDaemon;
  readonly addresses: Addresses;
  readonly links: Readonly<Record<LinkSide.Callers | LinkSide.Store, FaultLink>>;
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
  private version = 1;
  private renamed = 0;

  private constructor(
    private readonly timers: Timers,
    readonly store: PlatformStore,
    readonly upstreams: readonly PlatformUpstream[],
    private readonly upstreamLinks: readonly FaultLink[],
    readonly instances: readonly SoakInstance[],
  ) {}

  /** Starts everything and resolves when all daemons are ready. */
  static async create(
    timers: Timers,
    directory: string,
    size: { readonly daemons: number; readonly upstreams: number },
  ): Promise<SoakFleet> {
    const [storePort = 0, ...upstreamPorts] = await freePorts(1 + size.upstreams);
    const store = await PlatformStore.create(storePort);
    const upstreamLinks = await Promise.all(
      upstreamPorts.map((port) => FaultLink.create(timers, port)),
    );
    const upstreams = await Promise.all(
      upstreamPorts.map((port, at) =>
        PlatformUpstream.create(`u${at}`, port, `127.0.0.1:${upstreamLinks[at]?.port ?? 0}`),
      ),
    );
    const instances: SoakInstance[] = [];
    const fleet = new SoakFleet(timers, store, upstreams, upstreamLinks, instances);
    for (const upstream of upstreams) store.put("servers", upstream.id, upstream.entry("pool"));
    fleet.changeKey();
    for (let at = 0; at < size.daemons; at += 1) {
      instances.push(await startInstance(timers, directory, `i${at}`, storePort));
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

  /** Replaces the key of the team; the store has the change when this returns. */
  changeKey(): void {
    this.version += VERSION_STEP;
    const key = `key-${this.keys.length}`;
    this.store.put("op", "config", platformConfiguration(this.version, [key]));
    this.keys.push({ key, fromMs: this.timers.wallClock() });
  }

  /** Registers an upstream as leaving. */
  leave(target: number): void {
    const upstream = this.upstreams[target];
    if (upstream === undefined) throw new Error(`no upstream ${target}`);
    this.store.put("servers", upstream.id, upstream.entry("pool", "draining"));
    this.leavings.push({ upstream: upstream.id, fromMs: this.timers.wallClock() });
  }

  /** Has an upstream that left begin anew, under another id at the same address. */
  rejoin(target: number): void {
    const upstream = this.upstreams[target];
    if (upstream === undefined) throw new Error(`no upstream ${target}`);
    this.store.put("servers", upstream.id, undefined);
    this.renamed += 1;
    upstream.id = `u${target}-${this.renamed}`;
    this.store.put("servers", upstream.id, upstream.entry("pool"));
  }

  /** Ends all disturbances and starts the daemons that are down. */
  async heal(): Promise<void> {
    this.store.mode = StoreMode.Serving;
    for (const upstream of this.upstreams) upstream.mode = UpstreamMode.Serving;
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
    await Promise.all([this.store.stop(), ...this.upstreams.map((each) => each.stop())]);
  }

  private get links(): FaultLink[] {
    const own = this.instances.flatMap(({ links }) => Object.values(links));
    return [...own, ...this.upstreamLinks];
  }

  private async untilReady(): Promise<void> {
    const end = this.timers.now() + READY_MS;
    for (const { addresses } of this.instances) {
      while (!(await isReady(addresses.readiness))) {
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
  storePort: number,
): Promise<SoakInstance> {
  const [callers = 0, readiness = 0, peers = 0, metrics = 0] = await freePorts(4);
  const links = {
    [LinkSide.Callers]: await FaultLink.create(timers, callers),
    [LinkSide.Store]: await FaultLink.create(timers, storePort),
  };
  const at = (port: number): string => `127.0.0.1:${port}`;
  const daemon = await SoakDaemon.create(directory, id, {
    instance: { id, dataCentre: "a" },
    callers: at(callers),
    readiness: at(readiness),
    peers: at(peers),
    peerSecret: "secret-of-the-soak",
    metrics: at(metrics),
    store: at(links[LinkSide.Store].port),
    seeds: "",
    bounds: {
      drainMs: DRAIN_MS,
      graceSeconds: GRACE_MS / 1_000,
      budgetRatio: 0.2,
      budgetWindowSeconds: 10,
      budgetSlack: 50,
    },
    logLevel: "info",
  });
  return { daemon, addresses: { callers, readiness, peers, metrics }, links };
}

async function isReady(port: number): Promise<boolean> {
  try {
    const response = await fetch(`http://127.0.0.1:${port}/nutmegstage/ready`, {
      signal: AbortSignal.timeout(READY_MS / 10),
    });
    await response.arrayBuffer();
    return response.status === 200;
  } catch {
    // Refused, reset or late: the daemon is not ready yet.
    return false;
  }
}
