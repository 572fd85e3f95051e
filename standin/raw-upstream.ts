import { type Server, type Socket, createServer } from "node:net";

/** How an upstream ends what it sends. */
export enum ResponseEnd {
  /** It closes the connection. */
  Close = "a close",
  /** It closes both directions at once; a request that it has not read is reset. */
  Abandon = "an abandonment",
  /** It resets the connection. */
  Reset = "a reset",
  /** It sends nothing more. */
  Silence = "silence",
  /** It sends bytes that belong to no response, and closes the connection. */
  Excess = "excess bytes",
}

const EXCESS = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother";
/** Time in which the peer reads what was sent before a reset. */
const RESET_DELAY_MS = 20;

/** A stand-in upstream that sends given bytes to each request, and ends them in a given way. */
export class RawUpstream {
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly server: Server) {}

  /**
   * Sends the chunks of `responses` in turn, one array for each request. Reads only the beginning of
   * a request unless `reading`.
   */
  static async create(
    port: number,
    responses: readonly (readonly string[])[],
    end: ResponseEnd,
    reading = true,
  ): Promise<RawUpstream> {
    let next = 0;
    const server = createServer((socket) => {
      upstream.sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("data", () => {
        const chunks = responses[Math.min(next, responses.length - 1)] ?? [];
        next += 1;
        if (!reading) socket.pause();
        void send(socket, chunks, end);
      });
    });
    const upstream = new RawUpstream(server);
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
    return upstream;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => this.server.close(resolve));
  }
}

async function send(socket: Socket, chunks: readonly string[], end: ResponseEnd): Promise<void> {
  for (const chunk of chunks) {
    socket.write(chunk);
    // Separate writes arrive in separate reads.
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  switch (end) {
    case ResponseEnd.Close:
      socket.end();
      return;
    case ResponseEnd.Abandon:
      socket.destroy();
      return;
    case ResponseEnd.Reset:
      await new Promise((resolve) => setTimeout(resolve, RESET_DELAY_MS));
      socket.resetAndDestroy();
      return;
    case ResponseEnd.Excess:
      socket.end(EXCESS);
      return;
    case ResponseEnd.Silence:
  }
}
