#!/usr/bin/env node
import { CommanderError, type Command } from "commander";
import { ClientError } from "../client/client-error.js";
import { clientProgram } from "../client/client-program.js";
import { ExitCode } from "../client/exit-code.js";
import { SystemTimers } from "../time/system-timers.js";

/** Commander exits with 1 for a wrong command line, which would read as a refusal. */
function exitWithCodes(command: Command): void {
  command.exitOverride();
  command.commands.forEach(exitWithCodes);
}

const program = clientProgram(SystemTimers.create());
exitWithCodes(program);
try {
  await program.parseAsync();
} catch (error) {
  if (error instanceof CommanderError) {
    process.exitCode = error.exitCode === 0 ? ExitCode.Ok : ExitCode.Usage;
  } else if (error instanceof ClientError) {
    process.stderr.write(`${error.message}\n`);
    process.exitCode = error.code;
  } else throw error;
}
