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
import type { CallRider } from "./call-rider.js";
import { MessageBatch } from "./message-batch.js";
import type { PeerMethod } from "./peer-method.js";
import { INSTANCE_HEADER, RPC_PATH } from "./peer-server.js";

const MAX_RESPONSE_BYTES = 8_388_608;
/**
 * Time limit of the handshake. A peer with little processor time needs a second for the handshakes
 * of a whole fleet, and each repeated handshake slows it down further.
 */
const OPEN_TIMEOUT_MS = 2_000;
/** Local code, in the range that JSON-RPC 2.0 leaves to applications; no peer sends it. */
const NO_ANSWER_CODE = -32_099;
/** Code with which the library rejects all pending calls; peers use codes below -32,000. */
const CONNECTION_ENDED_CODE = 0;

/** Both endpoints of a connection, and the secret that authenticates it. */
export interface PeerEndpoints {
  readonly self: string;
  readonly instance: string;
  readonly address: string;
  readonly secret: string;
}

/** Time limits of one call, in ms. */
export interface CallLimits {
  readonly timeoutMs: number;
  /** Silence of the whole connection, while calls are pending, after which it is closed. */
  readonly silenceTimeoutMs: number;
}

/** One persistent connection to a peer; it carries any number of concurrent JSON-RPC calls. */
export class PeerConnection {
  private readonly rpc: JSONRPCClient;
  private readonly batch: MessageBatch;
  private lastId = 0;
  private lastHeardMs = -Infinity;
  /** Time of the first call since the last message of the peer. */
  private firstUnansweredCallMs: number | undefined;
  private opened = false;
  private endReason: string | undefined;
  /** Withdraws the message of the last call if it has not been sent yet. */
  private withdrawLastMessage: () => void = () => undefined;

  private constructor(
    private readonly timers: Timers,
    private readonly socket: WebSocket,
    private readonly instance: string,
    private readonly callRider: CallRider | undefined,
  ) {
    this.batch = MessageBatch.create(socket);
    this.rpc = new JSONRPCClient((request: JSONRPCRequest) => {
      const carried = callRider?.outgoing(instance);
      this.withdrawLastMessage = this.batch.add(
        carried === undefined ? request : { ...request, carried },
      );
    });
    const openTimer = timers.after(OPEN_TIMEOUT_MS, () => {
      this.end(`connection not accepted within ${OPEN_TIMEOUT_MS} ms`);
    });
    socket.on("open", () => {
      openTimer.cancel();
      this.opened = true;
      this.recordActivity();
      this.batch.flush();
    });
    socket.on("message", (data: Buffer) => {
      this.receive(data);
    });
    // A "close" event follows each error.
    socket.on("error", (error) => {
      this.endReason ??= error.message;
    });
    socket.on("close", () => {
      openTimer.cancel();
      this.end("the connection was closed");
    });
  }

  /** Starts to connect; calls wait until the peer has accepted the connection. */
  static create(
    timers: Timers,
    { self, instance, address, secret }: PeerEndpoints,
    callRider?: CallRider,
  ): PeerConnection {
    const url = new URL(RPC_PATH, address.replace(/^http/, "ws"));
    const socket = new WebSocket(url, {
      headers: { authorization: `Bearer ${secret}`, [INSTANCE_HEADER]: self },
      perMessageDeflate: false,
      skipUTF8Validation: true,
      maxPayload: MAX_RESPONSE_BYTES,
    });
    return new PeerConnection(timers, socket, instance, callRider);
  }

  /** Whether calls can be made. */
  get usable(): boolean {
    return this.endReason === undefined;
  }

  /** Throws the `JSONRPCErrorException` of the peer, or an `Error` if there is no answer. */
  async call(method: PeerMethod, params: unknown, limits: CallLimits): Promise<unknown> {
    if (this.endReason !== undefined) throw new Error(this.endReason);
    const { timers } = this;
    this.lastId += 1;
    const id = this.lastId;
    const sentMs = timers.now();
    this.firstUnansweredCallMs ??= sentMs;
    const { timeoutMs, silenceTimeoutMs } = limits;
    const response = this.rpc.requestAdvanced({ jsonrpc: "2.0", id, method, params });
    const { withdrawLastMessage } = this;
    const silentMs = (): number =>
      this.opened
        ? timers.now() - Math.max(this.lastHeardMs, this.firstUnansweredCallMs ?? sentMs)
        : 0;
    const fail = (): void => {
      const detail = `no answer within ${Math.round(timers.now() - sentMs)} ms`;
      this.rpc.receive(createJSONRPCErrorResponse(id, NO_ANSWER_CODE, detail));
      // A peer that accepts later must not receive a call that has already failed here.
      withdrawLastMessage();
      if (silentMs() >= silenceTimeoutMs) this.end(detail);
    };
    // Timers may fire a fraction of a millisecond early, so the limits are checked again.
    const checkLimits = (): void => {
      const leftMs = sentMs + timeoutMs - timers.now();
      const silenceLeftMs = silenceTimeoutMs - silentMs();
      if (leftMs <= 0 || silenceLeftMs <= 0) fail();
      else timer = timers.after(Math.max(1, Math.min(leftMs, silenceLeftMs)), checkLimits);
    };
    let timer = timers.after(Math.min(timeoutMs, silenceTimeoutMs), checkLimits);
    try {
      return resultOf(await response);
    } finally {
      timer.cancel();
    }
  }

  /** Closes the connection; calls in progress fail. */
  end(detail: string): void {
    this.endReason ??= detail;
    this.socket.terminate();
    this.rpc.rejectAllPendingRequests(this.endReason);
  }

  private recordActivity(): void {
    this.lastHeardMs = this.timers.now();
    this.firstUnansweredCallMs = undefined;
  }

  private receive(data: Buffer): void {
    this.recordActivity();
    const message = parseJson(data);
    const responses: unknown[] = Array.isArray(message) ? message : [message];
    for (const response of responses) {
      if (!isJSONRPCResponse(response)) {
        this.end("the peer sent a message that is not a JSON-RPC response");
        return;
      }
      if ("carried" in response) this.callRider?.receive(this.instance, response.carried);
      this.rpc.receive(response);
    }
  }
}

function parseJson(data: Buffer): unknown {
  try {
    return JSON.parse(data.toString());
  } catch {
    // Text that is not JSON is rejected like any other message that is not a response.
    return undefined;
  }
}

function resultOf({ result, error }: JSONRPCResponse): unknown {
  if (error === undefined) return result as unknown;
  if (error.code === NO_ANSWER_CODE || error.code === CONNECTION_ENDED_CODE)
    throw new Error(error.message);
  throw new JSONRPCErrorException(error.message, error.code, error.data);
}
