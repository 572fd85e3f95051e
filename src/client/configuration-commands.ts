import { Command, InvalidArgumentError } from "commander";
import { nanoid } from "nanoid";
import { z } from "zod";
import { documentSchema, emptyDocument } from "../configuration/configuration-document.js";
import { documentDifference } from "../configuration/document-difference.js";
import { refusalText } from "../operator/refusal-text.js";
import type { Timers } from "../time/timers.js";
import { ClientError } from "./client-error.js";
import { CommandContext, fileText } from "./command-context.js";
import { ExitCode } from "./exit-code.js";
import { waitForVersion } from "./version-wait.js";

const shownSchema = z.object({ version: z.number(), document: z.unknown() });
const acceptedSchema = z.object({ change: z.object({ version: z.number() }) });

interface ApplyOptions {
  readonly baseVersion: number;
  readonly wait?: boolean;
  readonly dryRun?: boolean;
}

/** `nutmegstage config`. */
export function configurationCommand(timers: Timers): Command {
  const config = new Command("config").description("show and change the configuration");
  config
    .command("show")
    .description("print the configuration in force")
    .addHelpText("after", "\nExample:\n  nutmegstage config show --json > configuration.json")
    .action(async (_options: unknown, command: Command) => {
      const context = await CommandContext.create(command, timers);
      context.print(await context.client.get("/v1/configuration"));
    });
  config
    .command("history")
    .description("print the newest accepted changes")
    .addHelpText("after", "\nExample:\n  nutmegstage config history")
    .action(async (_options: unknown, command: Command) => {
      const context = await CommandContext.create(command, timers);
      context.print(await context.client.get("/v1/configuration/changes"));
    });
  config
    .command("apply")
    .description("replace the configuration by a document in JSON")
    .argument("<file>", "the document, as `config show --json` prints it under `document`")
    .requiredOption(
      "--base-version <n>",
      "version that the document was made from, 0 for the first",
      wholeNumber,
    )
    .option("--dry-run", "check the change without making it")
    .option("--wait", "wait until all live instances have the new version")
    .addHelpText(
      "after",
      "\nExample:\n  nutmegstage config apply configuration.json --base-version 12 --wait",
    )
    .action(async (file: string, options: ApplyOptions, command: Command) => {
      await apply(await CommandContext.create(command, timers), file, options);
    });
  return config;
}

async function apply(context: CommandContext, file: string, options: ApplyOptions): Promise<void> {
  const { baseVersion, wait = false, dryRun = false } = options;
  const wanted = parsedDocument(await fileText(file));
  const shown = shownSchema.parse(await context.client.get("/v1/configuration"));
  if (shown.version !== baseVersion) {
    const detail = `base version ${baseVersion}; version ${shown.version} is in force`;
    throw ClientError.create(ExitCode.StaleBaseVersion, detail);
  }
  const current = baseVersion === 0 ? emptyDocument : documentSchema.parse(shown.document);
  const updates = documentDifference(current, wanted);
  if (updates.length === 0) {
    context.progress("the document equals the configuration in force");
    return;
  }
  const body = { changeId: nanoid(), baseVersion, updates, dryRun };
  context.progress(`change id ${body.changeId}`);
  const result = await context.client.change("POST", "/v1/configuration/changes", body);
  if (wait && !dryRun) {
    const { version } = acceptedSchema.parse(result).change;
    await waitForVersion(context.client, context.timers, version, (line) => {
      context.progress(line);
    });
  }
  context.print(result);
}

function parsedDocument(text: string): z.output<typeof documentSchema> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw ClientError.create(ExitCode.Usage, `the file is not JSON: ${String(error)}`);
  }
  const result = documentSchema.safeParse(value);
  if (result.success) return result.data;
  throw ClientError.create(ExitCode.Usage, refusalText(result.error, value));
}

function wholeNumber(text: string): number {
  if (/^[0-9]{1,15}$/.test(text)) return Number(text);
  throw new InvalidArgumentError("must be a whole number");
}
