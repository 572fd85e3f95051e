import { asValue } from "awilix";
import { createConsola } from "consola";
import { Configuration } from "../../src/configuration/configuration.js";
import { type Cradle, createDaemonContainer } from "../../src/daemon/container.js";
import { RandomSource } from "../../src/random/random-source.js";
import { settingsSchema } from "../../src/settings/settings.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";
import { type AttemptBehaviour, ErraticUpstreams } from "./erratic-upstreams.js";
import { MemoryLedger } from "./memory-ledger.js";
import { MemoryPeers } from "./memory-peers.js";

const UPSTREAMS = 4;
const USUAL_MS = 30;
const SAMPLES = 50;

/** All parts of one daemon on manual timers, without sockets, over erratic upstreams. */
export class WholeInstance {
  private constructor(
    readonly timers: ManualTimers,
    readonly parts: Cradle,
    readonly upstreams: ErraticUpstreams,
  ) {}

  static create(conducts: readonly AttemptBehaviour[]): WholeInstance {
    const timers = ManualTimers.create();
    const upstreams = ErraticUpstreams.create(timers, conducts);
    const peers = new MemoryPeers();
    const container = createDaemonContainer(settings());
    container.register({
      timers: asValue(timers),
      random: asValue(RandomSource.create(1)),
      log: asValue(createConsola({ level: -999 })),
      clients: asValue(upstreams),
      peerCalls: asValue(peers),
      peerMethods: asValue(peers.methodsOf("a")),
      ledger: asValue(new MemoryLedger()),
    });
    const parts = container.cradle;
    parts.configurationView.adopt(configuration());
    // Enough samples for hedges from the first request on.
    for (const service of ["retriever", "advice", "booking"]) {
      for (let at = 0; at < SAMPLES; at += 1) parts.hedges.recordLatency(service, USUAL_MS);
    }
    return new WholeInstance(timers, parts, upstreams);
  }
}

function configuration(): Configuration {
  const names = ["retriever", "advice", "booking"].flatMap((service) =>
    Array.from({ length: UPSTREAMS }, (_, at) => ({ id: `${service}-${at}`, service, port: 1 })),
  );
  const retrieve = { name: "retrieve", service: "retriever" };
  const generate = { name: "generate", service: "advice" };
  return Configuration.create(1, {
    ...sampleConfiguration(names),
    pipelines: [
      { name: "search", stages: [retrieve] },
      { name: "advice", stages: [generate] },
      { name: "both", stages: [retrieve, generate] },
      { name: "booking", stages: [{ name: "book", service: "booking" }] },
    ],
  });
}

function settings() {
  const address = { host: "127.0.0.1", port: 1 };
  return settingsSchema.parse({
    instance: { id: "a", dataCentre: "fes-a" },
    callers: address,
    peers: { ...address, secret: "a-secret-between-peers" },
    operators: { ...address, credentials: [{ name: "amal", digest: "0".repeat(64) }] },
    table: { endpoint: "http://127.0.0.1:1", accessKeyId: "local", secretAccessKey: "local" },
    instanceList: { endpoint: "http://127.0.0.1:1" },
  });
}
