import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SystemTimers } from "../../src/time/system-timers.js";
import { FaultLink } from "../../standin/fault-link.js";
import { freePorts } from "../../standin/free-ports.js";
import { PlatformStore } from "../../standin/platform-store.js";
import { Daemon } from "./daemon.js";

const HEARTBEAT_MS = 1_200;
const READY_MS = 20_000;

/** A stand-in that registers itself in the store. */
export interface Registered {
  readonly id: string;
  start(): Promise<void>;
  /** Ends as a process does that is killed. */
  crash(): Promise<void>;
  entry(state: "ready" | "draining"): Record<string, unknown>;
}

/** A small deployment: the store, daemons as processes, and replicas that register themselves. */
export class Site {
  readonly daemons: Daemon[] = [];
  /** The link of each daemon to the store. */
  readonly storeLinks: FaultLink[] = [];
  readonly record: string[] = [];
  private readonly details: string[] = [];
  private readonly startMs = Date.now();
  private readonly heartbeats = new Map<Registered, NodeJS.Timeout>();
  private readonly replicas = new Set<Registered>();

  private constructor(
    readonly store: PlatformStore,
    readonly storePort: number,
    readonly directory: string,
    private readonly recordFile: string,
  ) {}

  /** Starts the store; `folder` is that of the case. */
  static async create(folder: string): Promise<Site> {
    const [storePort = 0] = await freePorts(1);
    const directory = await mkdtemp(join(tmpdir(), "case-"));
    return new Site(
      await PlatformStore.create(storePort),
      storePort,
      directory,
      join("review", folder, "record.txt"),
    );
  }

  /** Adds a line to the record. */
  note(line: string): void {
    this.record.push(`${((Date.now() - this.startMs) / 1_000).toFixed(3)} ${line}`);
  }

  /** Adds what was sent, answered and run, in the order of time. */
  noteAll(events: readonly (readonly [atMs: number, line: string])[]): void {
    const sorted = [...events].sort(([a], [b]) => a - b);
    this.details.push(...sorted.map(([atMs, line]) => `${this.at(atMs)} ${line}`));
  }

  /** Seconds since the start, as in the record. */
  at(ms: number): string {
    return ((ms - this.startMs) / 1_000).toFixed(3);
  }

  /** Starts daemons, each with a loopback address of its own, and waits until all are ready. */
  async startDaemons(count: number, storeAt: (daemon: number) => number): Promise<void> {
    const [front = 0, ready = 0, control = 0, metrics = 0] = await freePorts(4);
    const ports = { front, ready, control, metrics };
    const ips = Array.from({ length: count }, (_, at) => `127.0.2.${at + 1}`);
    const seeds = ips.slice(0, 3).map((ip) => `${ip}:${control}`);
    for (const [at, ip] of ips.entries()) {
      const link = await FaultLink.create(SystemTimers.create(), storeAt(at));
      this.storeLinks.push(link);
      const store = `127.0.0.1:${link.port}`;
      const fields = { ip, zone: "zone-a", store, seeds, ports };
      this.daemons.push(await Daemon.create(this.directory, fields));
    }
    await this.untilReady();
  }

  async untilReady(): Promise<void> {
    const end = Date.now() + READY_MS;
    for (;;) {
      const ready = await Promise.all(this.daemons.map((each) => each.isReady()));
      if (ready.every(Boolean)) return;
      if (Date.now() > end) throw new Error("a daemon did not become ready");
      await sleep(100);
    }
  }

  /** Starts a replica, which writes its entry at each heartbeat. */
  async startReplica(replica: Registered): Promise<void> {
    await replica.start();
    this.replicas.add(replica);
    this.register(replica, "ready");
  }

  /** Has a replica write its entry now and at each heartbeat from now on. */
  register(replica: Registered, state: "ready" | "draining"): void {
    this.unregister(replica);
    const write = (): void => {
      this.store.put("servers", replica.id, replica.entry(state));
    };
    write();
    this.heartbeats.set(replica, setInterval(write, HEARTBEAT_MS));
  }

  /** A replica writes nothing any more; its entry stays. */
  unregister(replica: Registered): void {
    clearInterval(this.heartbeats.get(replica));
    this.heartbeats.delete(replica);
  }

  /** All that registers itself writes its entry, as after a loss of the store's newest rows. */
  writeEntries(): void {
    for (const replica of this.heartbeats.keys())
      this.store.put("servers", replica.id, replica.entry("ready"));
  }

  /** Ends all that was started and writes the record. */
  async stop(): Promise<void> {
    for (const timer of this.heartbeats.values()) clearInterval(timer);
    await Promise.all(this.daemons.map((each) => each.end()));
    await Promise.all([...this.replicas].map((each) => each.crash()));
    await Promise.all(this.storeLinks.map((each) => each.stop()));
    await this.store.stop();
    await writeFile(this.recordFile, `${[...this.record, ...this.details].join("\n")}\n`);
    if (process.env.KEEP_LOGS === undefined) await rm(this.directory, { recursive: true });
  }
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
