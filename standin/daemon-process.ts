import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";

/**
 * SIGHUP in the mask of handled signals of Linux. The programs register it last; SIGTERM and SIGINT
 * are in the mask from the start, as the runtime has handlers of its own that end the process.
 */
const SIGHUP_BIT = 1n << 0n;

/** Programs that run as daemons. */
export enum DaemonProgram {
  Platform = "dist/platform/main.js",
  Own = "dist/src/program/nutmegstaged.js",
}

/** Limits that a daemon process is started with. */
export interface ProcessLimits {
  /** Limit of the old part of its heap, in MiB. */
  readonly heapMiB: number;
  /** Limit of its open descriptors. */
  readonly descriptors: number;
}

/** A daemon as a process of its own, started again under the same addresses. */
export class DaemonProcess {
  private child: ChildProcess | undefined;
  private readonly ends: string[] = [];
  private ending = false;

  private constructor(
    private readonly program: DaemonProgram,
    private readonly settingsFile: string,
    private readonly logFile: string,
    private readonly limits: ProcessLimits | undefined,
  ) {}

  /** Starts the daemon; its log is written to the directory. */
  static async create(
    program: DaemonProgram,
    directory: string,
    name: string,
    settings: unknown,
    limits?: ProcessLimits,
  ): Promise<DaemonProcess> {
    const settingsFile = join(directory, `${name}.json`);
    await writeFile(settingsFile, JSON.stringify(settings));
    const logFile = join(directory, `${name}.log`);
    const daemon = new DaemonProcess(program, settingsFile, logFile, limits);
    daemon.start();
    return daemon;
  }

  /** How processes of the daemon ended that nobody asked to end. */
  get ownEnds(): readonly string[] {
    return this.ends;
  }

  /** Process id; 0 if it is not running. */
  get pid(): number {
    return this.child?.pid ?? 0;
  }

  get running(): boolean {
    return this.child !== undefined;
  }

  /**
   * Whether the program handles signals. Before, the runtime has not run its first module yet, and
   * signals end the process.
   */
  async handlesSignals(): Promise<boolean> {
    const { child } = this;
    if (child?.pid === undefined) return false;
    const status = await readFile(`/proc/${child.pid}/status`, "utf8");
    const [, mask = "0"] = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status) ?? [];
    return (BigInt(`0x${mask}`) & SIGHUP_BIT) !== 0n;
  }

  start(): void {
    this.ending = false;
    const verb = this.program === DaemonProgram.Own ? ["run"] : [];
    const options = [this.program, ...verb, "--settings", this.settingsFile];
    const [command, ...given] = commandOf(this.limits, options);
    const child = spawn(command, given, { stdio: ["ignore", "pipe", "pipe"] });
    const log = createWriteStream(this.logFile, { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once("exit", (code, signal) => {
      if (!this.ending) this.ends.push(`exit code ${String(code)}, signal ${String(signal)}`);
      this.child = undefined;
      log.end();
    });
    this.child = child;
  }

  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Ends the process and resolves with its exit code, null if a signal ended it. */
  async end(name: "SIGTERM" | "SIGKILL"): Promise<number | null> {
    const { child } = this;
    if (child === undefined) return null;
    this.ending = true;
    const exited = once(child, "exit") as Promise<[number | null]>;
    child.kill(name);
    // A frozen process acts on the signal only once it runs again.
    child.kill("SIGCONT");
    const [code] = await exited;
    return code;
  }
}

function commandOf(
  limits: ProcessLimits | undefined,
  options: readonly string[],
): [string, ...string[]] {
  if (limits === undefined) return [process.execPath, ...options];
  const { heapMiB, descriptors } = limits;
  const runtime = [process.execPath, `--max-old-space-size=${heapMiB}`];
  return ["/bin/sh", "-c", `ulimit -n ${descriptors}; exec "$@"`, "sh", ...runtime, ...options];
}
