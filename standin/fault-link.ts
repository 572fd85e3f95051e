import { once } from "node:events";
import { type AddressInfo, type Server, type Socket, connect, createServer } from "node:net";
import type { Timers } from "../src/time/timers.js";
import { LinkState } from "./link-state.js";

/** Above the time limit of a connection attempt to an upstream and below that of a request. */
const DELAY_MS = 400;

/**
 * A TCP relay on loopback whose connections can be delayed, reset, cut one way or silenced, all of
 * them or only those that are present.
 */
export class FaultLink {
  /** Connections accepted so far. */
  accepted = 0;
  /** Pieces passed to the target since the count was started. */
  passedForward = 0;
  private current = LinkState.Open;
  private listenedPort = 0;
  private readonly sockets = new Set<Socket>();
  private readonly silenced = new WeakSet<Socket>();

  private constructor(
    private readonly timers: Timers,
    private readonly server: Server,
    private readonly target: number,
  ) {}

  /**
   * Relays connections to a port on 127.0.0.1. A link that refuses connections for a time needs a
   * port of its own, as others may get any other port meanwhile.
   */
  static async create(timers: Timers, target: number, ownPort = 0): Promise<FaultLink> {
    const server = createServer({ noDelay: true, allowHalfOpen: true });
    const link = new FaultLink(timers, server, target);
    server.on("connection", (near) => {
      link.join(near);
    });
    server.listen(ownPort, "127.0.0.1");
    await once(server, "listening");
    return link;
  }

  /** Port on which the link accepts connections. */
  get port(): number {
    const address = this.server.address() as AddressInfo | null;
    if (address !== null) this.listenedPort = address.port;
    return this.listenedPort;
  }

  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  get state(): LinkState {
    return this.current;
  }

  /** Applies to present and new connections; `Resetting` ends the present ones. */
  set state(state: LinkState) {
    const { port } = this;
    if (state === LinkState.Refused) this.server.close();
    else if (!this.server.listening) this.server.listen(port, "127.0.0.1");
    this.current = state;
    if (state !== LinkState.Resetting) return;
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  /** Passes nothing on any more between the present connections, without closing them. */
  silencePresent(): void {
    for (const socket of this.sockets) this.silenced.add(socket);
  }

  startCount(): void {
    this.passedForward = 0;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    if (!this.server.listening) return;
    this.server.close();
    await once(this.server, "close");
  }

  private join(near: Socket): void {
    this.accepted += 1;
    if (this.current === LinkState.Resetting) {
      near.resetAndDestroy();
      return;
    }
    const far = connect({
      host: "127.0.0.1",
      port: this.target,
      noDelay: true,
      allowHalfOpen: true,
    });
    this.pass(near, far, LinkState.CutForward);
    this.pass(far, near, LinkState.CutBack);
  }

  /** Passes bytes, the end and a reset of one side on to the other one. */
  private pass(from: Socket, to: Socket, cut: LinkState): void {
    this.sockets.add(from);
    let order = Promise.resolve();
    const later = (action: () => void): void => {
      const { current } = this;
      if (this.silenced.has(from)) return;
      if (current === cut || current === LinkState.Silent) return;
      const delayMs = current === LinkState.Delayed ? DELAY_MS : 0;
      // Keeps the order of bytes when the delay changes between two of them.
      order = Promise.all([order, delayMs > 0 ? this.timers.sleep(delayMs) : undefined]).then(
        action,
      );
    };
    from.on("data", (bytes) => {
      if (cut === LinkState.CutForward) this.passedForward += 1;
      later(() => void to.write(bytes));
    });
    from.on("end", () => {
      // A reset that arrives with the last bytes is reported as an end; no peer is left then.
      const reset = from.remoteAddress === undefined;
      later(() => {
        if (reset) to.resetAndDestroy();
        else to.end();
      });
    });
    from.on("error", () => {
      later(() => void to.resetAndDestroy());
    });
    from.on("close", () => {
      this.sockets.delete(from);
      later(() => {
        to.destroySoon();
      });
    });
  }
}
