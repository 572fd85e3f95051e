import { createHash } from "node:crypto";
import { Writable } from "node:stream";
import { asValue } from "awilix";
import { createConsola } from "consola";
import { Configuration } from "../../src/configuration/configuration.js";
import { type Cradle, createDaemonContainer } from "../../src/daemon/container.js";
import { UnreadyReason } from "../../src/daemon/readiness.js";
import { type Settings, settingsSchema } from "../../src/settings/settings.js";
import { OPERATOR_CREDENTIAL } from "../../standin/fleet.js";
import { freePorts } from "../../standin/free-ports.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";
import type { MemoryLedger } from "./memory-ledger.js";
import type { MemoryPeers } from "./memory-peers.js";
import { MemoryRegistry } from "./memory-registry.js";
import { ScriptedUpstream } from "./scripted-upstream.js";

const HOST = "127.0.0.1";
const OPERATOR_DIGEST = createHash("sha256").update(OPERATOR_CREDENTIAL).digest("hex");

/** What several hosts of a test share. */
export interface Surroundings {
  readonly peers: MemoryPeers;
  readonly ledger: MemoryLedger;
}

/** The APIs of one instance in the process of the test, over a scripted upstream. */
export class CallerHost {
  private constructor(
    readonly url: string,
    readonly port: number,
    readonly parts: Cradle,
    readonly upstream: ScriptedUpstream,
    /** URL of the operators' API. */
    readonly operators: string,
    readonly registry: MemoryRegistry,
    /** Lines that the instance logged. */
    readonly logged: readonly string[],
  ) {}

  static async create(
    id: string,
    { peers, ledger }: Surroundings,
    limits: Partial<Settings["limits"]> = {},
  ): Promise<CallerHost> {
    const [port = 0, operatorPort = 0] = await freePorts(2);
    const container = createDaemonContainer(settingsOf(id, port, operatorPort, limits));
    const upstream = new ScriptedUpstream();
    const logged: string[] = [];
    const lines = new Writable({
      write: (chunk: Buffer, _encoding, done) => {
        logged.push(chunk.toString());
        done();
      },
    }) as unknown as NodeJS.WriteStream;
    container.register({
      log: asValue(createConsola({ level: 5, stdout: lines, stderr: lines })),
      clients: asValue(upstream),
      peerCalls: asValue(peers),
      peerMethods: asValue(peers.methodsOf(id)),
      ledger: asValue(ledger),
    });
    const registry = new MemoryRegistry(container.cradle.configurationView);
    container.register({ configurationRegistry: asValue(registry) });
    const parts = container.cradle;
    parts.configurationView.adopt(Configuration.create(1, configuration()));
    parts.readiness.clear(UnreadyReason.Starting);
    parts.answerReads.start();
    await parts.callerServer.listen();
    await parts.operatorServer.listen();
    return new CallerHost(
      `http://${HOST}:${port}`,
      port,
      parts,
      upstream,
      `http://${HOST}:${operatorPort}`,
      registry,
      logged,
    );
  }

  async close(): Promise<void> {
    this.upstream.resume();
    await this.parts.callerServer.close();
    await this.parts.operatorServer.close();
    this.parts.pools.stopPolling();
    await this.parts.metrics.stop();
  }
}

function configuration(): unknown {
  const services = ["encoder", "retriever", "reranker", "advice", "booking"];
  return sampleConfiguration(services.map((service) => ({ id: `${service}-1`, service, port: 1 })));
}

function settingsOf(
  id: string,
  port: number,
  operatorPort: number,
  limits: Partial<Settings["limits"]>,
): Settings {
  return settingsSchema.parse({
    instance: { id, dataCentre: "fes-a" },
    callers: { host: HOST, port },
    peers: { host: HOST, port: 1, secret: "a-secret-between-peers" },
    operators: {
      host: HOST,
      port: operatorPort,
      credentials: [{ name: "amal", digest: OPERATOR_DIGEST }],
    },
    table: { endpoint: "http://127.0.0.1:1", accessKeyId: "local", secretAccessKey: "local" },
    instanceList: { endpoint: "http://127.0.0.1:1" },
    limits,
  });
}
