import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

/** A process of a test or of the demo; it is ended with its parent at the latest. */
export class Child {
  private constructor(
    private readonly process: ChildProcess,
    private readonly lines: string[],
  ) {}

  /** Starts a program of `dist/` and waits until it reports that it is ready. */
  static async create(
    program: string,
    options: readonly string[],
    runtimeOptions: readonly string[] = [],
  ): Promise<Child> {
    const started = fork(program, options, {
      stdio: ["ignore", "pipe", "pipe", "ipc"],
      execArgv: [...runtimeOptions],
    });
    const lines: string[] = [];
    for (const stream of [started.stdout, started.stderr]) {
      if (stream !== null)
        createInterface({ input: stream }).on("line", (line) => lines.push(line));
    }
    const exited = once(started, "exit").then(() => {
      throw new Error(`${program} ended before it was ready:\n${lines.join("\n")}`);
    });
    await Promise.race([once(started, "message"), exited]);
    exited.catch(() => undefined);
    return new Child(started, lines);
  }

  /** Lines that the process wrote so far. */
  get output(): readonly string[] {
    return this.lines;
  }

  /** Process id. */
  get pid(): number {
    return this.process.pid ?? 0;
  }

  get running(): boolean {
    return this.process.exitCode === null && this.process.signalCode === null;
  }

  /** Sends a signal without waiting. */
  signal(name: NodeJS.Signals): void {
    this.process.kill(name);
  }

  /** Sends a signal and resolves with the exit code, null if the signal ended the process. */
  async end(name: NodeJS.Signals = "SIGTERM"): Promise<number | null> {
    if (!this.running) return this.process.exitCode;
    const exited = once(this.process, "exit") as Promise<[number | null]>;
    this.process.kill(name);
    const [code] = await exited;
    return code;
  }
}
