import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freePorts } from "../../standin/free-ports.js";
import { PlatformStore } from "../../standin/platform-store.js";
import { Daemon } from "./daemon.js";
import { freeNetwork } from "./free-network.js";

export const API_KEY = "key-of-the-team";
export const HOST = "a.example";

export interface RouteOptions {
  readonly name: string;
  readonly kind: "idempotent" | "non_idempotent" | "streaming";
  readonly service: string;
  readonly timeoutMs: number;
  readonly targetMs: number;
  readonly maxAttempts: number;
  readonly resumable?: boolean;
}

/** An entry of a replica in the store. */
export interface ReplicaEntry {
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  readonly born: number;
  readonly seq: number;
  readonly version: string;
}

/** A small deployment: the store, its configuration, and daemons. */
export class Site {
  readonly daemons: Daemon[] = [];
  private version = 1;

  private constructor(
    readonly store: PlatformStore,
    private readonly storeAddress: string,
    private readonly directory: string,
  ) {}

  static async create(): Promise<Site> {
    const [port = 0] = await freePorts(1);
    const store = await PlatformStore.create(port);
    const directory = mkdtempSync(join(tmpdir(), "review-"));
    return new Site(store, `127.0.0.1:${port}`, directory);
  }

  configure(routes: readonly RouteOptions[]): void {
    this.version += 3;
    const names = [...new Set(routes.map(({ service }) => service))];
    this.store.put("op", "config", {
      version: this.version,
      routes: routes.map((route) => ({
        name: route.name,
        host: HOST,
        prefix: `/${route.name}/`,
        kind: route.kind,
        service: route.service,
        "timeout-ms": route.timeoutMs,
        "target-latency-ms": route.targetMs,
        "max-attempts": route.maxAttempts,
        ...(route.resumable === undefined ? {} : { resumable: route.resumable }),
        priority: 0,
      })),
      services: names.map((name) => ({ name })),
      tenants: [{ name: "team", "api-keys": [API_KEY] }],
      limits: {
        "max-header-bytes": 16_384,
        "max-body-bytes": 4_194_304,
        "header-timeout-ms": 5_000,
        "idle-timeout-ms": 10_000,
      },
    });
  }

  register(id: string, entry: ReplicaEntry): void {
    this.store.put("servers", id, entry);
  }

  unregister(id: string): void {
    this.store.put("servers", id, undefined);
  }

  /** Starts daemons, one in each of the zones, and waits until all are ready. */
  async startDaemons(zones: readonly string[]): Promise<void> {
    const network = await freeNetwork();
    const ips = zones.map((_, at) => `${network}.${at + 1}`);
    const { storeAddress: store, directory } = this;
    for (const [at, zone] of zones.entries())
      this.daemons.push(
        Daemon.create({ ip: ips[at] ?? "", zone, store, seeds: ips.slice(0, 3), directory }),
      );
    await Promise.all(this.daemons.map((daemon) => daemon.ready()));
  }

  /** Ends all daemons at once. */
  kill(): void {
    for (const daemon of this.daemons) daemon.signal("SIGKILL");
  }

  async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.end("SIGKILL")));
    await this.store.stop();
    if (process.env.KEEP !== "1") rmSync(this.directory, { recursive: true, force: true });
    else process.stderr.write(`logs are in ${this.directory}\n`);
  }
}
