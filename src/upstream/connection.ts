import { once } from "node:events";
import { Client, type Dispatcher } from "undici";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { PausableSocket } from "./pausable-socket.js";
import { ResponseReceiver } from "./response-receiver.js";
import type { UpstreamResponse } from "./upstream-response.js";

const CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_PORT = 80;
/** Idle connections close before the other end does so at its usual 5 s. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/** Errors of a socket whose other end is gone; those of the client have codes of their own. */
const PEER_CLOSED_CODES: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE"]);

/** One TCP connection to an upstream; it carries one call at a time and never reconnects. */
export class Connection {
  /** Whole answers that it has carried. */
  answerCount = 0;

  private constructor(
    private readonly client: Client,
    private readonly socket: PausableSocket,
    private readonly fault: { readonly code: string | undefined },
    /** Monotonic time in ms at which the upstream was last heard on this connection. */
    public lastReceivedAt: number,
  ) {}

  /**
   * Opens a connection. Throws `UpstreamCrashed` if it is refused, `UpstreamFailed` if it is not
   * accepted in time, and the signal's reason when it aborts; nothing was dispatched in any case.
   */
  static async open(
    address: string,
    timers: Timers,
    signal: AbortSignal,
    connectTimeoutMs = CONNECT_TIMEOUT_MS,
  ): Promise<Connection> {
    const { hostname, port } = new URL(address);
    const host = hostname.replace(/^\[|\]$/g, "");
    const connectTimeout = new AbortController();
    const timeout = timers.after(connectTimeoutMs, () => {
      connectTimeout.abort();
    });
    const socket = new PausableSocket();
    socket.setNoDelay(true);
    socket.connect({ host, port: Number(port || DEFAULT_PORT) });
    const fault: { code: string | undefined } = { code: undefined };
    // The connection may fail between calls; the next call then finds it closed.
    socket.on("error", (error: NodeJS.ErrnoException) => {
      // The client destroys the socket with errors of its own, also after a whole response.
      if (error.syscall !== undefined) fault.code ??= error.code ?? error.name;
    });
    socket.on("end", () => {
      // The runtime reports a reset that arrives with the last bytes as an end; no peer is left then.
      if (socket.remoteAddress === undefined) fault.code ??= "ECONNRESET";
    });
    try {
      await once(socket, "connect", { signal: AbortSignal.any([signal, connectTimeout.signal]) });
    } catch (error) {
      socket.destroy();
      throw connectError(error, signal).asUndispatched();
    } finally {
      timeout.cancel();
    }
    return new Connection(createClient(address, socket), socket, fault, timers.now());
  }

  get usable(): boolean {
    return !this.socket.destroyed && this.socket.readable && this.socket.writable;
  }

  /**
   * Whether the connection was reset. The client takes a reset as the end of an answer that has
   * no length, so such an answer is whole only on a connection that was not reset.
   */
  get wasReset(): boolean {
    return this.fault.code !== undefined;
  }

  /** Whether the other end has reset or closed the connection. */
  get closedByPeer(): boolean {
    return this.socket.readableEnded || PEER_CLOSED_CODES.has(this.fault.code ?? "");
  }

  request(
    options: Dispatcher.DispatchOptions & { readonly signal: AbortSignal },
  ): Promise<UpstreamResponse> {
    return ResponseReceiver.request(this.client, this.socket, options);
  }

  /** Closes the connection; a call in progress fails. */
  destroy(): void {
    this.socket.destroy();
    void this.client.destroy();
  }
}

/** A client on an open socket. A second connect attempt of the client means the first one closed. */
function createClient(address: string, socket: PausableSocket): Client {
  let used = false;
  return new Client(address, {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: (_options, done) => {
      // The client ignores a connection that it gets before its connector has returned.
      queueMicrotask(() => {
        if (used || socket.destroyed) done(closedBeforeCallError(), null);
        else done(null, socket);
        used = true;
      });
    },
  });
}

function connectError(error: unknown, signal: AbortSignal): ServeError {
  if (signal.aborted) return ServeError.from(signal.reason, ErrorKind.Cancelled);
  const refused = (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
  return ServeError.from(error, refused ? ErrorKind.UpstreamCrashed : ErrorKind.UpstreamFailed);
}

function closedBeforeCallError(): ServeError {
  const detail = "the connection was closed before the call was written";
  return ServeError.create(ErrorKind.ConnectionSilent, detail, { undispatched: true });
}
