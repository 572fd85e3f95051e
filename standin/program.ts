import { Command, Option } from "commander";
import type { FastifyInstance } from "fastify";
import { InstanceListServer } from "./instance-list-server.js";
import { StandinKind } from "./standin-kind.js";
import { TableServer } from "./table-server.js";
import { UpstreamServer } from "./upstream-server.js";
import { WeightStoreServer } from "./weight-store-server.js";

function serverOf(kind: StandinKind, id: string): FastifyInstance {
  switch (kind) {
    case StandinKind.Table:
      return TableServer.create().server;
    case StandinKind.InstanceList:
      return InstanceListServer.create().server;
    case StandinKind.Upstream:
      return UpstreamServer.create(id).server;
    case StandinKind.WeightStore:
      return WeightStoreServer.create().server;
  }
}

const program = new Command("standin")
  .description("one stand-in of an outside system on loopback")
  .addOption(new Option("--kind <kind>").choices(Object.values(StandinKind)).makeOptionMandatory())
  .requiredOption("--port <port>", "port on 127.0.0.1", Number)
  .option("--id <id>", "id of the stand-in", "standin");
program.parse();

const options = program.opts<{ kind: StandinKind; port: number; id: string }>();
const server = serverOf(options.kind, options.id);
await server.listen({ host: "127.0.0.1", port: options.port });
process.send?.("ready");
// A stand-in must not outlive the test or demo that started it.
process.on("disconnect", () => process.exit(0));
