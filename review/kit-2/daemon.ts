import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { parseSettingsTemplate } from "./template.js";

/** Ports of all daemons; each daemon has a loopback address of its own. */
export interface DaemonPorts {
  readonly front: number;
  readonly ready: number;
  readonly control: number;
  readonly metrics: number;
}

/** What the platform fills into the settings and the command of one daemon. */
export interface DaemonFields {
  readonly ip: string;
  readonly zone: string;
  readonly store: string;
  readonly seeds: readonly string[];
  readonly ports: DaemonPorts;
}

/** A daemon that runs as a process of its own with the command of the deploy file. */
export class Daemon {
  /** How processes of this daemon ended that the case had not asked to end. */
  readonly ownEnds: string[] = [];
  private child: ChildProcess | undefined;
  private ending = false;

  private constructor(
    readonly fields: DaemonFields,
    private readonly command: readonly string[],
    private readonly settingsFile: string,
    private readonly logFile: string,
  ) {}

  /** Writes the settings and starts the process; the log goes to the directory. */
  static async create(directory: string, fields: DaemonFields): Promise<Daemon> {
    const values = fieldsOf(fields);
    const template = await readFile("deploy/settings.json.template", "utf8");
    const settingsFile = join(directory, `${fields.ip}.json`);
    await writeFile(settingsFile, parseSettingsTemplate(template, values));
    const deploy = await readFile("deploy/system.toml", "utf8");
    const run = /^run = "(.*)"$/m.exec(deploy)?.[1];
    if (run === undefined) throw new Error("the deploy file has no command");
    const words = run.split(" ").map((word) => parseSettingsTemplate(word, values));
    const logFile = join(directory, `${fields.ip}.log`);
    const daemon = new Daemon(fields, words, settingsFile, logFile);
    daemon.start();
    return daemon;
  }

  get ip(): string {
    return this.fields.ip;
  }

  start(): void {
    this.ending = false;
    const [command = "node", ...options] = this.command;
    const child = spawn(command, options, {
      env: { PATH: process.env.PATH, NUTMEGSTAGE_SETTINGS: this.settingsFile },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(this.logFile, { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once("exit", (code, signal) => {
      if (!this.ending) this.ownEnds.push(`${this.ip}: code ${String(code)}, ${String(signal)}`);
      if (this.child === child) this.child = undefined;
      log.end();
    });
    this.child = child;
  }

  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Ends the process and waits for its end. */
  async end(name: "SIGKILL" | "SIGTERM" = "SIGKILL"): Promise<void> {
    const { child } = this;
    if (child === undefined) return;
    this.ending = true;
    const exited = once(child, "exit");
    child.kill(name);
    child.kill("SIGCONT");
    await exited;
  }

  /** Whether the daemon says that it is ready, as the platform asks it. */
  async isReady(): Promise<boolean> {
    const { ip, ports } = this.fields;
    try {
      const response = await fetch(`http://${ip}:${ports.ready}/nutmegstage/ready`, {
        signal: AbortSignal.timeout(1_000),
      });
      await response.arrayBuffer();
      return response.status === 200;
    } catch {
      // It does not listen yet, or is late.
      return false;
    }
  }
}

/** The fields of the settings that the template uses, as on a small site. */
function fieldsOf({ ip, zone, store, seeds, ports }: DaemonFields): unknown {
  return {
    ip,
    zone,
    seeds,
    limits: { "cpu-share": 0.675, cores: 1, "memory-mb": 350, "max-fds": 4_100 },
    listen: {
      front: `${ip}:${ports.front}`,
      ready: `${ip}:${ports.ready}`,
      control: `${ip}:${ports.control}`,
    },
    "port-range": [ports.metrics, ports.metrics],
    platform: { address: store },
    bounds: {
      "drain-ms": 2_000,
      "grace-s": 8,
      "budget-ratio": 0.2,
      "budget-window-s": 10,
      "retry-slack": 54,
    },
  };
}
