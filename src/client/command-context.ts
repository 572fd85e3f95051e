import { readFile } from "node:fs/promises";
import type { Command } from "commander";
import type { Timers } from "../time/timers.js";
import { ClientError } from "./client-error.js";
import { ExitCode } from "./exit-code.js";
import { OperatorClient } from "./operator-client.js";
import { readableText } from "./readable-text.js";

/** What every command needs: the client, the clock and the form of the output. */
export class CommandContext {
  private constructor(
    readonly client: OperatorClient,
    readonly timers: Timers,
    private readonly json: boolean,
  ) {}

  /** Reads the global options of a command; throws `ClientError` if a file can't be read. */
  static async create(command: Command, timers: Timers): Promise<CommandContext> {
    const options = command.optsWithGlobals<{
      server: string;
      credentialFile: string;
      json?: boolean;
    }>();
    const credential = (await fileText(options.credentialFile)).trim();
    const client = OperatorClient.create({ server: options.server, credential }, timers);
    return new CommandContext(client, timers, options.json ?? false);
  }

  /** Writes a result to standard output. */
  print(value: unknown): void {
    process.stdout.write(this.json ? `${JSON.stringify(value)}\n` : readableText(value));
  }

  /** Writes progress to standard error, which keeps standard output parseable. */
  progress(line: string): void {
    process.stderr.write(`${line}\n`);
  }
}

/** Reads a file that the command line names. */
export async function fileText(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (error) {
    throw ClientError.create(ExitCode.Usage, `cannot read ${path}: ${String(error)}`);
  }
}
