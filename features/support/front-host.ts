import { FrontDaemon } from "../../src/daemon/front-daemon.js";
import { frontSettingsSchema } from "../../src/settings/front-settings.js";
import { PlatformRowDecoder } from "../../platform/platform-row-decoder.js";
import { RequestDialect } from "../../platform/request-dialect.js";
import { StoreClient } from "../../platform/store-client.js";
import { freePorts } from "../../standin/free-ports.js";
import { platformConfiguration } from "../../standin/platform-configuration.js";
import { PlatformStore } from "../../standin/platform-store.js";
import { PlatformUpstream } from "../../standin/platform-upstream.js";
import { StoreGate } from "./store-gate.js";
import { type FrontAnswer, askFront } from "./front-caller.js";

const KEY = "key-1";
const VERSION_STEP = 3;
const READY_MS = 5_000;
const POLL_MS = 50;

interface DaemonPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly peers: number;
  readonly metrics: number;
  readonly store?: number;
}

/** A daemon of the platform and the ports of what it listens on. */
interface Running {
  readonly daemon: FrontDaemon;
  readonly callers: number;
  readonly readiness: number;
  /** Answers instead of the store while it is closed. */
  readonly gate: StoreGate;
}

/** Stand-ins of the platform and daemons before them, in this process, on loopback. */
export class FrontHost {
  readonly daemons: Running[] = [];
  private version = 1;

  private constructor(
    private readonly storePort: number,
    readonly store: PlatformStore,
    readonly upstreams: readonly PlatformUpstream[],
  ) {}

  static async create(ids: readonly string[]): Promise<FrontHost> {
    const [storePort = 0, ...ports] = await freePorts(1 + ids.length);
    const store = await PlatformStore.create(storePort);
    const upstreams = await Promise.all(
      ids.map((id, at) => PlatformUpstream.create(id, ports[at] ?? 0)),
    );
    const host = new FrontHost(storePort, store, upstreams);
    for (const upstream of upstreams) host.register(upstream, "ready");
    host.configure([KEY]);
    await host.startDaemon();
    return host;
  }

  get first(): Running {
    const [first] = this.daemons;
    if (first === undefined) throw new Error("no daemon was started");
    return first;
  }

  register(upstream: PlatformUpstream, state: string): void {
    this.store.put("servers", upstream.id, upstream.entry("pool", state));
  }

  configure(keys: readonly string[]): void {
    this.version += VERSION_STEP;
    this.store.put("op", "config", platformConfiguration(this.version, keys));
  }

  /** Settings of a daemon before the stand-ins; the store has its own port unless one is given. */
  settingsOf(id: string, ports: DaemonPorts): unknown {
    const at = (port: number): string => `127.0.0.1:${port}`;
    return {
      instance: { id, dataCentre: "a" },
      callers: at(ports.callers),
      readiness: at(ports.readiness),
      peers: at(ports.peers),
      peerSecret: "secret-of-the-tests",
      metrics: at(ports.metrics),
      store: at(ports.store ?? this.storePort),
      seeds: "",
      bounds: {
        drainMs: 2_000,
        graceSeconds: 8,
        budgetRatio: 0.2,
        budgetWindowSeconds: 10,
        budgetSlack: 50,
      },
      logLevel: "error",
    };
  }

  async startDaemon(): Promise<Running> {
    const [callers = 0, readiness = 0, peers = 0, metrics = 0, gatePort = 0] = await freePorts(5);
    const gate = await StoreGate.create(gatePort, this.storePort);
    const ports = { callers, readiness, peers, metrics, store: gatePort };
    const settings = frontSettingsSchema.parse(this.settingsOf(`i${this.daemons.length}`, ports));
    const daemon = FrontDaemon.create(settings, {
      dialect: RequestDialect.create(),
      rowDecoder: PlatformRowDecoder.create(),
      rowFeed: ({ timers, forwardMetrics }) =>
        StoreClient.create({ timers, forwardMetrics, address: settings.store }),
    });
    const running = { daemon, callers, readiness, gate };
    this.daemons.push(running);
    await daemon.start();
    await this.untilReady(readiness);
    return running;
  }

  async ready(port: number): Promise<boolean> {
    try {
      const response = await fetch(`http://127.0.0.1:${port}/nutmegstage/ready`);
      await response.arrayBuffer();
      return response.status === 200;
    } catch {
      return false;
    }
  }

  ask(
    path: string,
    headers: Record<string, string> = {},
    running: Running = this.first,
    leaveMs?: number,
  ): Promise<FrontAnswer> {
    return askFront(running.callers, path, { "x-api-key": KEY, ...headers }, leaveMs);
  }

  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(({ daemon }) => daemon.close()));
    await Promise.all(this.daemons.map(({ gate }) => gate.stop()));
    await Promise.all([this.store.stop(), ...this.upstreams.map((each) => each.stop())]);
  }

  private async untilReady(port: number): Promise<void> {
    const end = Date.now() + READY_MS;
    while (!(await this.ready(port))) {
      if (Date.now() > end) throw new Error("the daemon did not become ready");
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }
}
