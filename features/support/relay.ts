import { once } from "node:events";
import { type AddressInfo, type Socket, connect, createServer } from "node:net";

/** Forwards connections to a port; open ones can be silenced while new ones work. */
export class Relay {
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly server = createServer()) {}

  static async create(target: number): Promise<Relay> {
    const relay = new Relay();
    relay.server.on("connection", (near) => {
      const far = connect(target, "127.0.0.1");
      near.pipe(far).pipe(near);
      for (const socket of [near, far]) {
        relay.sockets.add(socket.on("error", () => socket.destroy()));
      }
    });
    relay.server.listen(0, "127.0.0.1");
    await once(relay.server, "listening");
    return relay;
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Drops what arrives on the connections that are open now, without closing them. */
  silence(): void {
    for (const socket of this.sockets) socket.unpipe().on("data", () => undefined);
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}
