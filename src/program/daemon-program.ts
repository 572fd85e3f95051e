import { Command } from "commander";
import { Daemon } from "../daemon/daemon.js";
import { loadSettings } from "../settings/load-settings.js";
import type { EarlySignals } from "./early-signals.js";
import { runChecked } from "./run-checked.js";

/** Runs the daemon as its command line says. */
export async function runDaemon(earlySignals: EarlySignals): Promise<void> {
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
      // SIGHUP stops gracefully as well: its settings are read once, and a terminal may be gone.
      earlySignals.handle(stop);
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

  await runChecked(program);
}
