import { Command, Option } from "commander";
import { nanoid } from "nanoid";
import type { Timers } from "../time/timers.js";
import { CommandContext } from "./command-context.js";
import { configurationCommand } from "./configuration-commands.js";

const WATCH_MS = 1_000;
const EXIT_CODES = `
Exit codes:
  0  done
  1  refused by the instance
  2  wrong command line or input file
  3  uncertain whether the change was accepted
  4  the instance can't be reached or can't answer now
  5  another change was accepted on the base version
  6  accepted, but not in force on all live instances in time`;

interface UpstreamOptions {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly slots?: string;
}

/** The command line of the operators' client. */
export function clientProgram(timers: Timers): Command {
  const program = new Command("nutmegstage")
    .description("Operators' client of nutmegstage")
    .addOption(
      new Option("--server <url>", "operators' API of an instance")
        .env("NUTMEGSTAGE_SERVER")
        .makeOptionMandatory(),
    )
    .addOption(
      new Option("--credential-file <file>", "file that holds the operator's credential")
        .env("NUTMEGSTAGE_CREDENTIAL_FILE")
        .makeOptionMandatory(),
    )
    .option("--json", "print JSON")
    .addHelpText("after", EXIT_CODES);
  program
    .command("status")
    .description("print the state of an instance and of the others as it sees them")
    .option("--watch", "print it again every second")
    .addHelpText("after", "\nExample:\n  nutmegstage status --watch")
    .action(async (options: { watch?: boolean }, command: Command) => {
      const context = await CommandContext.create(command, timers);
      context.print(await context.client.get("/v1/status"));
      while (options.watch === true) {
        await timers.sleep(WATCH_MS);
        context.print(await context.client.get("/v1/status"));
      }
    });
  program.addCommand(configurationCommand(timers));
  program.addCommand(targetCommand(timers));
  program.addCommand(upstreamCommand(timers));
  const request = program.command("request").description("look at requests of callers");
  request
    .command("status")
    .description("print the state of a request that the instance holds")
    .argument("<id>")
    .addHelpText("after", "\nExample:\n  nutmegstage request status fes-a-1.V1StGXR8Z5jdHi6BmyT0a")
    .action(async (id: string, _options: unknown, command: Command) => {
      const context = await CommandContext.create(command, timers);
      context.print(await context.client.get(`/v1/requests/${encodeURIComponent(id)}`));
    });
  return program;
}

function targetCommand(timers: Timers): Command {
  const target = new Command("target").description("targets of classes");
  target
    .command("set")
    .description("set the target of a class")
    .argument("<class>")
    .requiredOption("--time-ms <n>", "time to the whole answer in ms", Number)
    .requiredOption("--share <s>", "share of requests to answer in time, 0 to 1", Number)
    .addHelpText("after", "\nExample:\n  nutmegstage target set fitting --time-ms 800 --share 0.99")
    .action(async (name: string, target: object, command: Command) => {
      const context = await CommandContext.create(command, timers);
      const path = `/v1/classes/${encodeURIComponent(name)}/target`;
      const body = { changeId: nanoid(), ...target };
      context.print(await context.client.change("PUT", path, body));
    });
  return target;
}

function upstreamCommand(timers: Timers): Command {
  const upstream = new Command("upstream").description("add, remove and list upstreams");
  upstream
    .command("list")
    .description("print the upstreams with their states")
    .addHelpText("after", "\nExample:\n  nutmegstage upstream list --json")
    .action(async (_options: unknown, command: Command) => {
      const context = await CommandContext.create(command, timers);
      context.print(await context.client.get("/v1/upstreams"));
    });
  upstream
    .command("add")
    .description("add an upstream")
    .requiredOption("--id <id>")
    .requiredOption("--service <service>")
    .requiredOption("--address <url>")
    .requiredOption("--data-centre <name>")
    .option("--slots <n>", "requests that it runs at once")
    .addHelpText(
      "after",
      "\nExample:\n  nutmegstage upstream add --id advice-9 --service advice " +
        "--address http://10.0.0.9:8000 --data-centre fes-a",
    )
    .action(async ({ slots, ...options }: UpstreamOptions, command: Command) => {
      const context = await CommandContext.create(command, timers);
      const upstream = slots === undefined ? options : { ...options, slots: Number(slots) };
      const body = { changeId: nanoid(), upstream };
      context.print(await context.client.change("POST", "/v1/upstreams", body));
    });
  upstream
    .command("remove")
    .description("mark an upstream as leaving, so that it gets no new work")
    .argument("<id>")
    .option("--now", "delete the entry instead")
    .addHelpText("after", "\nExample:\n  nutmegstage upstream remove advice-9")
    .action(async (id: string, options: { now?: boolean }, command: Command) => {
      const context = await CommandContext.create(command, timers);
      const query = `changeId=${nanoid()}&mode=${options.now === true ? "now" : "leaving"}`;
      const path = `/v1/upstreams/${encodeURIComponent(id)}?${query}`;
      context.print(await context.client.change("DELETE", path));
    });
  return upstream;
}
