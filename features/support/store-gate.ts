import { type Server, type Socket, connect, createServer } from "node:net";

/** A relay to the store that can turn one daemon away. */
export class StoreGate {
  closed = false;
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly storePort: number,
  ) {}

  static async create(port: number, storePort: number): Promise<StoreGate> {
    const server = createServer((socket) => {
      gate.relay(socket);
    });
    const gate = new StoreGate(server, storePort);
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
    return gate;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private relay(socket: Socket): void {
    this.sockets.add(socket);
    socket.on("error", () => undefined);
    if (this.closed) {
      socket.resetAndDestroy();
      return;
    }
    const store = connect(this.storePort, "127.0.0.1");
    this.sockets.add(store);
    store.on("error", () => {
      socket.destroy();
    });
    socket.pipe(store).pipe(socket);
  }
}
