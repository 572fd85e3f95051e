import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

/** The command of the deploy file. */
const ARGUMENTS = ["--max-old-space-size=158", "target/nutmegstage-front.js"];
const READY_POLL_MS = 100;
const READY_TIMEOUT_MS = 20_000;

/** Ports of all daemons; each daemon has a loopback address of its own. */
export const ports = { callers: 8_625, readiness: 8_621, peers: 8_628, metrics: 7_740 } as const;

export interface DaemonOptions {
  readonly ip: string;
  readonly zone: string;
  readonly store: string;
  readonly seeds: readonly string[];
  readonly directory: string;
}

/** One daemon, started as the deploy file says. */
export class Daemon {
  /** How processes ended that nobody had asked to end. */
  readonly ownEnds: string[] = [];
  private child: ChildProcess | undefined;
  private ending = false;

  private constructor(
    readonly ip: string,
    private readonly settingsFile: string,
    private readonly logFile: string,
  ) {}

  static create(options: DaemonOptions): Daemon {
    const { ip, directory } = options;
    const settingsFile = join(directory, `${ip}.json`);
    writeFileSync(settingsFile, settings(options));
    const daemon = new Daemon(ip, settingsFile, join(directory, `${ip}.log`));
    daemon.start();
    return daemon;
  }

  get running(): boolean {
    return this.child !== undefined;
  }

  /** What its processes wrote. */
  get log(): string {
    return readFileSync(this.logFile, "utf8");
  }

  start(): void {
    this.ending = false;
    const { PATH = "", HOME = "" } = process.env;
    const child = spawn(process.execPath, ARGUMENTS, {
      env: { PATH, HOME, NUTMEGSTAGE_SETTINGS: this.settingsFile },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(this.logFile, { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once("exit", (code, signal) => {
      if (!this.ending) this.ownEnds.push(`code ${String(code)}, signal ${String(signal)}`);
      if (this.child === child) this.child = undefined;
    });
    this.child = child;
  }

  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  async end(name: NodeJS.Signals): Promise<void> {
    const { child } = this;
    if (child === undefined) return;
    this.ending = true;
    const exited = once(child, "exit");
    child.kill(name);
    await exited;
  }

  /** Waits until the daemon says that it is ready. */
  async ready(): Promise<void> {
    const end = Date.now() + READY_TIMEOUT_MS;
    const url = `http://${this.ip}:${ports.readiness}/nutmegstage/ready`;
    while (Date.now() < end) {
      const status = await fetch(url, { signal: AbortSignal.timeout(1_000) }).then(
        (response) => response.status,
        () => 0,
      );
      if (status === 200) return;
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
    }
    throw new Error(`${this.ip} did not become ready`);
  }
}

/** Fills in the template of the settings as the platform does. */
function settings({ ip, zone, store, seeds }: DaemonOptions): string {
  const values = new Map<string, string>(
    Object.entries({
      ip,
      zone,
      "limits.cpu-share": "1",
      "limits.cores": "1",
      "listen.front": `${ip}:${ports.callers}`,
      "listen.ready": `${ip}:${ports.readiness}`,
      "listen.control": `${ip}:${ports.peers}`,
      "port-range.0": String(ports.metrics),
      "platform.address": store,
      seeds: seeds.map((each) => `${each}:${ports.peers}`).join(","),
      "bounds.drain-ms": "2000",
      "bounds.grace-s": "8",
      "bounds.budget-ratio": "0.2",
      "bounds.budget-window-s": "10",
      "bounds.retry-slack": "56",
    }),
  );
  return readFileSync("deploy/settings.json.template", "utf8").replaceAll(
    /\{\{([^}]+)\}\}/g,
    (_, name: string) => {
      const value = values.get(name);
      if (value === undefined) throw new Error(`the template names ${name}`);
      return value;
    },
  );
}
