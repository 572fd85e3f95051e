import { freePorts } from "./free-ports.js";
import { platformConfiguration } from "./platform-configuration.js";
import { PlatformStore, type StoreCopy } from "./platform-store.js";
import { PlatformUpstream } from "./platform-upstream.js";

const SERVICE = "pool";
const VERSION_STEP = 3;
const READINESS_MS = 1_000;
const OK = 200;

/** Bounds of the platform that the settings state. */
export const siteBounds = {
  drainMs: 2_000,
  graceSeconds: 8,
  budgetRatio: 0.2,
  budgetWindowSeconds: 10,
  budgetSlack: 50,
} as const;

/** Ports of a daemon on 127.0.0.1. */
export interface DaemonPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly peers: number;
  readonly metrics: number;
  /** Port at which the daemon reaches the store. */
  readonly store: number;
}

/** Stand-ins of the platform's store and upstreams, and what daemons before them need. */
export class PlatformSite {
  private version = 1;

  private constructor(
    readonly storePort: number,
    readonly store: PlatformStore,
    readonly upstreams: readonly PlatformUpstream[],
  ) {}

  /** `reachedAt` returns the port at which others reach an upstream that listens on a port. */
  static async create(
    ids: readonly string[],
    key: string,
    reachedAt: (port: number) => Promise<number> = (port) => Promise.resolve(port),
  ): Promise<PlatformSite> {
    const [storePort = 0, ...ports] = await freePorts(1 + ids.length);
    const store = await PlatformStore.create(storePort);
    const upstreams = await Promise.all(
      ids.map(async (id, at) => {
        const port = ports[at] ?? 0;
        return PlatformUpstream.create(id, port, `127.0.0.1:${await reachedAt(port)}`);
      }),
    );
    const site = new PlatformSite(storePort, store, upstreams);
    for (const upstream of upstreams) site.register(upstream);
    site.configure(key);
    return site;
  }

  /** Free ports for a daemon, and one for a link to the store. */
  static async daemonPorts(): Promise<DaemonPorts> {
    const [callers = 0, readiness = 0, peers = 0, metrics = 0, store = 0] = await freePorts(5);
    return { callers, readiness, peers, metrics, store };
  }

  /** Whether the daemon with that port says that it is ready. */
  static async isReady(readiness: number): Promise<boolean> {
    try {
      const response = await fetch(`http://127.0.0.1:${readiness}/nutmegstage/ready`, {
        signal: AbortSignal.timeout(READINESS_MS),
      });
      await response.arrayBuffer();
      return response.status === OK;
    } catch {
      // Refused, reset or late: the daemon is not ready.
      return false;
    }
  }

  /** Registers an upstream as serving. */
  register(upstream: PlatformUpstream): void {
    this.store.put("servers", upstream.id, upstream.entry(SERVICE, "ready"));
  }

  /** Registers an upstream as leaving. */
  leave(upstream: PlatformUpstream): void {
    this.store.put("servers", upstream.id, upstream.entry(SERVICE, "draining"));
  }

  /** Replaces an upstream that left by another one at the same address. */
  replace(upstream: PlatformUpstream, id: string): void {
    this.store.put("servers", upstream.id, undefined);
    upstream.id = id;
    this.register(upstream);
  }

  /** Adds entries that name no upstream. */
  registerUnreadable(): void {
    const entry = { service: SERVICE, zone: "a" };
    this.store.put("servers", "x1", { ...entry, address: 7, state: "ready" });
    this.store.put("servers", "x2", "text");
    this.store.put("servers", "x3", { ...entry, address: "127.0.0.1:1", state: "odd" });
  }

  /** Writes a configuration in which the team has only this key. */
  configure(key: string): void {
    this.version += VERSION_STEP;
    this.store.put("op", "config", platformConfiguration(this.version, [key]));
  }

  /**
   * Has the store come back from a copy. Upstreams write their entries again at once, the operator
   * the configuration after a time, unless it has written a newer one by then; entries of upstreams
   * that are gone have expired by then.
   */
  async restore(copy: StoreCopy, rewriteMs: number): Promise<void> {
    const { store, version } = this;
    const entries = new Map(this.upstreams.map(({ id }) => [id, store.find("servers", id)]));
    const configuration = store.find("op", "config");
    store.restore(copy);
    for (const [id, entry] of entries) store.put("servers", id, entry);
    await new Promise((resolve) => setTimeout(resolve, rewriteMs));
    if (this.version === version) store.put("op", "config", configuration);
    const present = new Set(this.upstreams.map(({ id }) => id));
    for (const id of store.keys("servers"))
      if (!present.has(id)) store.put("servers", id, undefined);
  }

  /** Settings of a daemon. */
  settingsOf(id: string, ports: DaemonPorts, logLevel: "error" | "info"): unknown {
    const at = (port: number): string => `127.0.0.1:${port}`;
    return {
      instance: { id, dataCentre: "a" },
      callers: at(ports.callers),
      readiness: at(ports.readiness),
      peers: at(ports.peers),
      peerSecret: "secret-of-the-tests",
      metrics: at(ports.metrics),
      store: at(ports.store),
      seeds: "",
      bounds: siteBounds,
      logLevel,
    };
  }

  async stop(): Promise<void> {
    await Promise.all([this.store.stop(), ...this.upstreams.map((each) => each.stop())]);
  }
}
