import { type AddressInfo, type Server, type Socket, connect, createServer } from "node:net";
import { once } from "node:events";

/** A TCP relay on loopback whose connections can go silent while new ones work. */
export class Relay {
  private readonly pairs = new Set<readonly [Socket, Socket]>();
  private accepted = 0;

  private constructor(private readonly server: Server) {}

  /** Starts a relay to a port on 127.0.0.1. */
  static async create(target: number): Promise<Relay> {
    const server = createServer({ noDelay: true });
    const relay = new Relay(server);
    server.on("connection", (near) => {
      relay.join(near, connect({ host: "127.0.0.1", port: target, noDelay: true }));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return relay;
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Number of connections accepted so far. */
  get connections(): number {
    return this.accepted;
  }

  /** Stops forwarding on all present connections without closing them. */
  silence(): void {
    for (const [near, far] of this.pairs) {
      near.unpipe().pause();
      far.unpipe().pause();
    }
  }

  async stop(): Promise<void> {
    for (const pair of this.pairs) for (const socket of pair) socket.destroy();
    this.server.close();
    await once(this.server, "close");
  }

  private join(near: Socket, far: Socket): void {
    this.accepted += 1;
    const pair = [near, far] as const;
    this.pairs.add(pair);
    const end = (): void => {
      near.destroy();
      far.destroy();
      this.pairs.delete(pair);
    };
    for (const socket of pair) socket.on("error", end).on("close", end);
    near.pipe(far);
    far.pipe(near);
  }
}
