import type { Command } from "commander";
import { ServeError } from "../error/serve-error.js";

const EXIT_INVALID = 2;

/** Runs a program as its command line says; an error of the product sets the exit code 2. */
export async function runChecked(program: Command): Promise<void> {
  try {
    await program.parseAsync();
  } catch (error) {
    if (!(error instanceof ServeError)) throw error;
    process.stderr.write(`${error.kind}: ${error.message}\n`);
    process.exitCode = EXIT_INVALID;
  }
}
