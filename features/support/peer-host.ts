import { ErrorKind } from "../../src/error/error-kind.js";
import { Outcome } from "../../src/error/outcome.js";
import { ServeError } from "../../src/error/serve-error.js";
import type { CallRider } from "../../src/peer/call-rider.js";
import { AddressBook } from "../../src/peer/address-book.js";
import { PeerClients } from "../../src/peer/peer-clients.js";
import { PeerMethod } from "../../src/peer/peer-method.js";
import { PeerServer } from "../../src/peer/peer-server.js";
import { type Settings, settingsSchema } from "../../src/settings/settings.js";
import { SystemTimers } from "../../src/time/system-timers.js";
import { freePorts } from "../../standin/free-ports.js";

const SECRET = "a-secret-between-peers";
const HOST = "127.0.0.1";

/** A peer server in this process, and clients that call it. */
export class PeerHost {
  /** Number of probes that the host answered. */
  probes = 0;
  private readonly clients: PeerClients[] = [];

  private constructor(
    readonly settings: Settings,
    private readonly server: PeerServer,
  ) {}

  static async create(callRider?: CallRider): Promise<PeerHost> {
    const timers = SystemTimers.create();
    const [port = 0] = await freePorts(1);
    const settings = settingsOf("tunis-a-1", port, SECRET);
    const server = PeerServer.create({ settings, callRider });
    server.register(PeerMethod.Probe, (params, from) => {
      host.probes += 1;
      return Promise.resolve([params, from]);
    });
    server.register(PeerMethod.AnswerRead, async (params) => {
      await timers.sleep(Number(params));
      return params;
    });
    server.register(PeerMethod.Heartbeat, () => new Promise(() => undefined));
    server.register(PeerMethod.LedgerAttempt, () =>
      Promise.reject(
        ServeError.create(ErrorKind.LeaseLost, "held elsewhere", {
          outcome: Outcome.MayHaveRun,
          retryAfterMs: 1_234,
        }),
      ),
    );
    const host = new PeerHost(settings, server);
    await server.listen();
    return host;
  }

  get port(): number {
    return this.settings.peers.port;
  }

  /** Clients that call the host as another instance. */
  clientsAs(
    id: string,
    address = `http://${HOST}:${this.port}`,
    secret = SECRET,
    callRider?: CallRider,
  ): PeerClients {
    const addressBook = AddressBook.create();
    addressBook.set(this.settings.instance.id, address);
    const timers = SystemTimers.create();
    const settings = settingsOf(id, this.port, secret);
    const clients = PeerClients.create({ settings, timers, addressBook, callRider });
    this.clients.push(clients);
    return clients;
  }

  async close(): Promise<void> {
    for (const clients of this.clients) clients.close();
    await this.server.close();
  }
}

function settingsOf(id: string, port: number, secret: string): Settings {
  return settingsSchema.parse({
    instance: { id, dataCentre: "tunis-a" },
    callers: { host: HOST, port },
    peers: { host: HOST, port, secret },
    operators: { host: HOST, port, credentials: [{ name: "amal", digest: "0".repeat(64) }] },
    table: { endpoint: `http://${HOST}`, accessKeyId: "local", secretAccessKey: "local" },
    instanceList: { endpoint: `http://${HOST}` },
    limits: { bodyBytes: 16_384, requestTimeoutMs: 1_000 },
  });
}
