import { createConsola } from "consola";
import { asValue } from "awilix";
import type { DemandDigest } from "../src/admission/demand-digest.js";
import { createDaemonContainer, type Cradle } from "../src/daemon/container.js";
import { Broadcast } from "../src/peer/broadcast.js";
import type { Partitioner } from "../src/peer/partitioner.js";
import type { PeerMethod } from "../src/peer/peer-method.js";
import type { PeerHandler } from "../src/peer/peer-methods.js";
import type { ListedInstance } from "../src/table/listed-instance.js";
import type { Table } from "../src/table/table.js";
import { RandomSource } from "../src/random/random-source.js";
import { settingsSchema } from "../src/settings/settings.js";
import type { ManualTimers } from "../src/time/manual-timers.js";
import { FreezableTimers } from "./freezable-timers.js";
import type { NetworkPort, PeerNetwork } from "./peer-network.js";

/** How a member is made. */
export interface MemberOptions {
  readonly id: string;
  readonly region: string;
  readonly seed: number;
  /** What the platform's list says at present. */
  readonly list: () => readonly ListedInstance[];
  readonly division?: Partitioner;
  readonly demand?: DemandDigest;
  readonly table?: Table;
}

/** The peer parts of one daemon on an in-memory network. */
export class NetworkMember {
  private constructor(
    readonly id: string,
    readonly parts: Cradle,
    readonly port: NetworkPort,
    private readonly timers: FreezableTimers,
  ) {}

  static create(clock: ManualTimers, network: PeerNetwork, options: MemberOptions): NetworkMember {
    const { id, region, seed, list, division, demand, table } = options;
    const timers = FreezableTimers.create(clock);
    const handlers = new Map<PeerMethod, PeerHandler>();
    const container = createDaemonContainer(settingsOf(id, region));
    const peerCalls = { call: network.call.bind(network, id) };
    const peerMethods = { register: handlers.set.bind(handlers) };
    container.register({
      log: asValue(createConsola({ level: -999 })),
      timers: asValue(timers),
      random: asValue(RandomSource.create(seed)),
      instanceList: asValue({ list: () => Promise.resolve(list().slice()) }),
      peerCalls: asValue(peerCalls),
      peerMethods: asValue(peerMethods),
    });
    if (demand !== undefined) {
      container.register({ demandSource: asValue({ digest: () => demand }) });
    }
    if (table !== undefined) container.register({ table: asValue(table) });
    if (division !== undefined) {
      container.register({
        broadcast: asValue(
          Broadcast.create(
            { timers, peerCalls, peerMethods, memberTable: container.cradle.memberTable },
            division,
          ),
        ),
      });
    }
    const port = { region, handlers, up: true, sentBytes: 0, broadcasts: 0 };
    network.ports.set(id, port);
    return new NetworkMember(id, container.cradle, port, timers);
  }

  get listed(): ListedInstance {
    const { peerAddress, dataCentre, cores } = this.parts.memberTable.own;
    return { id: this.id, peerAddress, dataCentre, cores, state: "live" };
  }

  async start(): Promise<void> {
    this.parts.pauseDetection.start();
    await this.parts.membership.start();
  }

  /** Ends the member without notice. */
  kill(): void {
    this.port.up = false;
    this.parts.membership.stop();
    this.parts.pauseDetection.stop();
  }

  freeze(): void {
    this.port.up = false;
    this.timers.freeze();
  }

  thaw(): void {
    this.port.up = true;
    this.timers.thaw();
  }

  /** State of another member as this one sees it. */
  stateOf(id: string): string {
    return this.parts.memberTable.find(id)?.state ?? "unknown";
  }
}

function settingsOf(id: string, dataCentre: string) {
  const listener = { host: "127.0.0.1", port: 1 };
  const endpoint = "http://127.0.0.1:1";
  return settingsSchema.parse({
    instance: { id, dataCentre },
    callers: listener,
    peers: { ...listener, secret: "a-secret-between-peers" },
    operators: { ...listener, credentials: [{ name: "amal", digest: "0".repeat(64) }] },
    table: { endpoint, accessKeyId: "local", secretAccessKey: "local" },
    instanceList: { endpoint },
  });
}
