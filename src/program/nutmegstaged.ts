#!/usr/bin/env node
import { Command } from "commander";
import { Daemon } from "../daemon/daemon.js";
import { ServeError } from "../error/serve-error.js";
import { loadSettings } from "../settings/load-settings.js";

const EXIT_INVALID = 2;

const program = new Command("nutmegstaged").description("Entry daemon of nutmegstage");

program
  .command("run")
  .description("serve requests until SIGTERM")
  .requiredOption("--settings <file>", "settings file in JSON")
  .action(async (options: { settings: string }) => {
    const daemon = Daemon.create(await loadSettings(options.settings));
    const started = daemon.start();
    // A signal during the start takes effect after it; a second one must not end the process.
    const stop = (): void => void started.then(() => daemon.stop()).then(() => process.exit(0));
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    await started;
  });

program
  .command("check")
  .description("check a settings file")
  .requiredOption("--settings <file>", "settings file in JSON")
  .action(async (options: { settings: string }) => {
    await loadSettings(options.settings);
    process.stdout.write("settings are valid\n");
  });

try {
  await program.parseAsync();
} catch (error) {
  if (!(error instanceof ServeError)) throw error;
  process.stderr.write(`${error.kind}: ${error.message}\n`);
  process.exitCode = EXIT_INVALID;
}
