import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { createHash } from "node:crypto";
import type { ConfigurationDocument } from "../src/configuration/configuration-document.js";
import { ConfigurationHistory } from "../src/configuration/configuration-history.js";
import { DynamoTable } from "../src/table/dynamo-table.js";
import { type Settings, settingsSchema } from "../src/settings/settings.js";
import { Child } from "./child.js";
import { freePorts } from "./free-ports.js";
import { type SampleUpstream, sampleConfiguration } from "./sample-configuration.js";
import { StandinKind } from "./standin-kind.js";

const STANDIN = fileURLToPath(new URL("program.js", import.meta.url));
const DAEMON = fileURLToPath(new URL("daemon-program.js", import.meta.url));

/** Operator credential of all fleets, in clear text. */
export const OPERATOR_CREDENTIAL = "operator-key";

/** Credential in clear text of a second operator. */
export const OTHER_OPERATOR_CREDENTIAL = "other-operator-key";

/** Starts of a fleet whose ports were taken in the meantime. */
const MOST_STARTS = 3;

/** How many processes of each kind to start. */
export interface FleetSize {
  readonly daemons: number;
  /** Upstreams per service. */
  readonly services: Readonly<Record<string, number>>;
  /** Changes to the settings of the daemons. */
  readonly settings?: (settings: Settings) => Settings;
  /** Options of the runtime of the daemons. */
  readonly runtimeOptions?: readonly string[];
  /** True if the table is to hold no configuration yet. */
  readonly unconfigured?: boolean;
  /** Changes to the initial configuration. */
  readonly configuration?: (document: ConfigurationDocument) => ConfigurationDocument;
}

/** A daemon process with its settings. */
export interface FleetDaemon {
  readonly settings: Settings;
  readonly child: Child;
  /** URL of the callers' API. */
  readonly url: string;
}

/** Stand-ins and daemons in separate processes on loopback. */
export class Fleet {
  readonly daemons: FleetDaemon[] = [];
  readonly upstreams = new Map<string, { readonly child: Child; readonly url: string }>();
  private readonly children: Child[] = [];

  private constructor(
    private readonly directory: string,
    readonly tableUrl: string,
    readonly listUrl: string,
  ) {}

  static async create(size: FleetSize): Promise<Fleet> {
    for (let attempt = 1; ; attempt += 1) {
      try {
        return await Fleet.started(size);
      } catch (error) {
        // A port that was free when it was chosen may be taken by another test run.
        const taken = String(error).includes("EADDRINUSE");
        if (!taken || attempt === MOST_STARTS) throw error;
      }
    }
  }

  private static async started(size: FleetSize): Promise<Fleet> {
    const names = Object.entries(size.services).flatMap(([service, count]) =>
      Array.from({ length: count }, (_, at) => ({ id: `${service}-${at + 1}`, service })),
    );
    const [tablePort = 0, listPort = 0, ...ports] = await freePorts(2 + names.length);
    const upstreams = names.map((name, at) => ({ ...name, port: ports[at] ?? 0 }));
    const fleet = new Fleet(
      await mkdtemp(join(tmpdir(), "nutmegstage-")),
      `http://127.0.0.1:${tablePort}`,
      `http://127.0.0.1:${listPort}`,
    );
    try {
      await allSettled([
        fleet.standin(StandinKind.Table, "table", tablePort),
        fleet.standin(StandinKind.InstanceList, "list", listPort),
        ...upstreams.map((upstream) => fleet.startUpstream(upstream)),
      ]);
      if (size.unconfigured !== true) await fleet.initialise(upstreams, size);
      await fleet.startDaemons(size);
    } catch (error) {
      // Processes that were started would keep the test run from ending.
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  /** Sets faults of a stand-in. */
  async control(url: string, faults: object): Promise<void> {
    await fetch(`${url}/control`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(faults),
    });
  }

  /** Starts an upstream process that the configuration need not know yet. */
  async startUpstream(upstream: SampleUpstream): Promise<void> {
    const child = await this.standin(StandinKind.Upstream, upstream.id, upstream.port);
    this.upstreams.set(upstream.id, { child, url: `http://127.0.0.1:${upstream.port}` });
  }

  /** Starts a daemon that was not part of the fleet, or one again with the same settings. */
  async startDaemon(
    settings: Settings,
    runtimeOptions: readonly string[] = [],
  ): Promise<FleetDaemon> {
    const file = join(this.directory, `${settings.instance.id}.json`);
    await writeFile(file, JSON.stringify(settings));
    const child = await Child.create(DAEMON, ["run", "--settings", file], runtimeOptions);
    this.children.push(child);
    const daemon = { settings, child, url: `http://127.0.0.1:${settings.callers.port}` };
    this.daemons.push(daemon);
    return daemon;
  }

  /** Ends every process that is still running. */
  async stop(): Promise<void> {
    await Promise.all(this.children.map((child) => child.end("SIGKILL")));
    await rm(this.directory, { recursive: true });
  }

  /** The daemon with a number from 1; the newest process if it was started again. */
  daemon(number: number): FleetDaemon {
    const found = this.daemons.findLast(
      ({ settings }) => settings.instance.id === `fes-a-${number}`,
    );
    if (found === undefined) throw new Error(`no daemon ${number}`);
    return found;
  }

  private async standin(kind: StandinKind, id: string, port: number): Promise<Child> {
    const child = await Child.create(STANDIN, ["--kind", kind, "--id", id, "--port", String(port)]);
    this.children.push(child);
    return child;
  }

  private async initialise(upstreams: readonly SampleUpstream[], size: FleetSize): Promise<void> {
    const table = DynamoTable.create(this.tableSettings());
    const history = ConfigurationHistory.create({ table });
    const document = sampleConfiguration(upstreams);
    await history.initialise(size.configuration?.(document) ?? document, "initial-configuration");
  }

  private async startDaemons(size: FleetSize): Promise<void> {
    const ports = await freePorts(3 * size.daemons);
    const settings = Array.from({ length: size.daemons }, (_, at) =>
      this.settings(`fes-a-${at + 1}`, ports.slice(3 * at, 3 * at + 3)),
    );
    await this.control(this.listUrl, {
      instances: settings.map(({ instance, peers }) => ({
        id: instance.id,
        peerAddress: `http://127.0.0.1:${peers.port}`,
        dataCentre: instance.dataCentre,
        state: "live",
      })),
    });
    await allSettled(
      settings.map((one) => this.startDaemon(size.settings?.(one) ?? one, size.runtimeOptions)),
    );
    this.daemons.sort((a, b) => a.settings.instance.id.localeCompare(b.settings.instance.id));
  }

  private settings(id: string, [callers, peers, operators]: readonly number[]): Settings {
    const host = "127.0.0.1";
    return settingsSchema.parse({
      instance: { id, dataCentre: "fes-a" },
      callers: { host, port: callers },
      peers: { host, port: peers, secret: "a-secret-between-peers" },
      operators: {
        host,
        port: operators,
        credentials: [
          { name: "amal", digest: digestOf(OPERATOR_CREDENTIAL) },
          { name: "badr", digest: digestOf(OTHER_OPERATOR_CREDENTIAL) },
        ],
      },
      table: this.tableSettings(),
      instanceList: { endpoint: this.listUrl },
      bounds: { balancerLagMs: 200 },
    });
  }

  private tableSettings(): Settings["table"] {
    return {
      endpoint: this.tableUrl,
      name: "nutmegstage",
      region: "local",
      accessKeyId: "local",
      secretAccessKey: "local",
      requestTimeoutMs: 1_000,
    };
  }
}

function digestOf(credential: string): string {
  return createHash("sha256").update(credential).digest("hex");
}

/** Waits for all starts, so that a failure leaves none behind that is not known yet. */
async function allSettled(starts: readonly Promise<unknown>[]): Promise<void> {
  await Promise.allSettled(starts);
  await Promise.all(starts);
}
