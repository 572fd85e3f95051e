import {
  JSONRPCClient,
  JSONRPCErrorException,
  type JSONRPCRequest,
  type JSONRPCResponse,
  createJSONRPCErrorResponse,
  isJSONRPCResponse,
} from "json-rpc-2.0";
import { WebSocket } from "ws";
import type { Timers } from "../time/timers.js";
import { MessageBatch } from "./message-batch.js";
import type { PeerMethod } from "./peer-method.js";
import { INSTANCE_HEADER, RPC_PATH } from "./peer-server.js";

const MAX_RESPONSE_BYTES = 8_388_608;
/**
 * Time within which a peer accepts a connection. A peer with little processor time takes a second
 * for the handshakes of a whole fleet, and each further one makes it slower.
 */
const OPEN_MS = 2_000;
/** Code of the range that JSON-RPC 2.0 leaves to applications; it never comes from a peer. */
const NO_ANSWER = -32_099;
/** Code with which the library rejects all calls in progress; peers use codes below -32,000. */
const CONNECTION_ENDED = 0;

/** What a connection knows of both ends. */
export interface PeerEnds {
  readonly self: string;
  readonly instance: string;
  readonly address: string;
  readonly secret: string;
}

/** Time limits of one call, in ms. */
export interface CallLimits {
  readonly timeoutMs: number;
  /** Silence of the whole connection, while calls wait, after which it is ended. */
  readonly quietMs: number;
}

/** One kept connection to a peer; it carries any number of JSON-RPC calls at the same time. */
export class PeerConnection {
  private readonly rpc: JSONRPCClient;
  private readonly batch: MessageBatch;
  private lastId = 0;
  private heardMs = -Infinity;
  /** Time of the first call since the peer was heard last. */
  private calledMs: number | undefined;
  private opened = false;
  private ended: string | undefined;
  /** Takes the message of the last call back. */
  private takeBack: () => void = () => undefined;

  private constructor(
    private readonly timers: Timers,
    private readonly socket: WebSocket,
  ) {
    this.batch = MessageBatch.create(socket);
    this.rpc = new JSONRPCClient((request: JSONRPCRequest) => {
      this.takeBack = this.batch.add(request);
    });
    const limit = timers.after(OPEN_MS, () => {
      this.end(`not accepted within ${OPEN_MS} ms`);
    });
    socket.on("open", () => {
      limit.cancel();
      this.opened = true;
      this.hear();
      this.batch.flush();
    });
    socket.on("message", (data: Buffer) => {
      this.receive(data);
    });
    // A close follows each error.
    socket.on("error", (error) => {
      this.ended ??= error.message;
    });
    socket.on("close", () => {
      limit.cancel();
      this.end("the connection was closed");
    });
  }

  /** Begins to connect; calls wait until the peer has accepted. */
  static create(timers: Timers, { self, address, secret }: PeerEnds): PeerConnection {
    const url = new URL(RPC_PATH, address.replace(/^http/, "ws"));
    const socket = new WebSocket(url, {
      headers: { authorization: `Bearer ${secret}`, [INSTANCE_HEADER]: self },
      perMessageDeflate: false,
      skipUTF8Validation: true,
      maxPayload: MAX_RESPONSE_BYTES,
    });
    return new PeerConnection(timers, socket);
  }

  /** Whether calls can be made. */
  get usable(): boolean {
    return this.ended === undefined;
  }

  /** Throws `JSONRPCErrorException` for an error of the peer, and an `Error` without an answer. */
  async call(method: PeerMethod, params: unknown, limits: CallLimits): Promise<unknown> {
    if (this.ended !== undefined) throw new Error(this.ended);
    const { timers } = this;
    this.lastId += 1;
    const id = this.lastId;
    const sentMs = timers.now();
    this.calledMs ??= sentMs;
    const { timeoutMs, quietMs } = limits;
    const response = this.rpc.requestAdvanced({ jsonrpc: "2.0", id, method, params });
    const { takeBack } = this;
    const silentMs = (): number =>
      this.opened ? timers.now() - Math.max(this.heardMs, this.calledMs ?? sentMs) : 0;
    const fail = (): void => {
      const detail = `no answer within ${Math.round(timers.now() - sentMs)} ms`;
      this.rpc.receive(createJSONRPCErrorResponse(id, NO_ANSWER, detail));
      // A peer that accepts later must not get the call after its caller has turned elsewhere.
      takeBack();
      if (silentMs() >= quietMs) this.end(detail);
    };
    // Timers may fire a fraction of a millisecond early, so that one look is not enough.
    const check = (): void => {
      const leftMs = sentMs + timeoutMs - timers.now();
      const quietLeftMs = quietMs - silentMs();
      if (leftMs <= 0 || quietLeftMs <= 0) fail();
      else limit = timers.after(Math.max(1, Math.min(leftMs, quietLeftMs)), check);
    };
    let limit = timers.after(Math.min(timeoutMs, quietMs), check);
    try {
      return resultOf(await response);
    } finally {
      limit.cancel();
    }
  }

  /** Ends the connection; calls in progress fail. */
  end(detail: string): void {
    this.ended ??= detail;
    this.socket.terminate();
    this.rpc.rejectAllPendingRequests(this.ended);
  }

  private hear(): void {
    this.heardMs = this.timers.now();
    this.calledMs = undefined;
  }

  private receive(data: Buffer): void {
    this.hear();
    const message = parsed(data);
    const responses: unknown[] = Array.isArray(message) ? message : [message];
    for (const response of responses) {
      if (!isJSONRPCResponse(response)) {
        this.end("the peer sent something else than JSON-RPC responses");
        return;
      }
      this.rpc.receive(response);
    }
  }
}

function parsed(data: Buffer): unknown {
  try {
    return JSON.parse(data.toString());
  } catch {
    // Not JSON, which is no response either.
    return undefined;
  }
}

function resultOf({ result, error }: JSONRPCResponse): unknown {
  if (error === undefined) return result as unknown;
  if (error.code === NO_ANSWER || error.code === CONNECTION_ENDED) throw new Error(error.message);
  throw new JSONRPCErrorException(error.message, error.code, error.data);
}
