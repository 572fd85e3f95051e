import { WebSocket } from "ws";

/** Size from which a batch is sent; below the least message size that a peer accepts. */
const BATCH_BYTES = 8_192;
/** Bytes that may wait for a peer that reads slowly; twice the largest message. */
const MOST_WAITING_BYTES = 16_777_216;

/** What a batch needs of a connection. */
type BatchSocket = Pick<WebSocket, "readyState" | "bufferedAmount" | "send" | "terminate">;

/**
 * Messages to one peer. Those of one turn of the event loop are sent as one JSON-RPC batch, since
 * each write costs a system call here and a wake-up there.
 */
export class MessageBatch {
  private texts: string[] = [];
  private bytes = 0;
  private flushDue = false;

  private constructor(private readonly socket: BatchSocket) {}

  static create(socket: BatchSocket): MessageBatch {
    return new MessageBatch(socket);
  }

  add(message: unknown): void {
    const text = JSON.stringify(message);
    if (this.bytes + text.length > BATCH_BYTES) this.flush();
    this.texts.push(text);
    this.bytes += text.length;
    if (this.flushDue) return;
    this.flushDue = true;
    setImmediate(() => {
      this.flushDue = false;
      this.flush();
    });
  }

  /** Sends what waits, unless the connection is not open yet. */
  flush(): void {
    const { socket, texts } = this;
    if (texts.length === 0 || socket.readyState === WebSocket.CONNECTING) return;
    this.texts = [];
    this.bytes = 0;
    if (socket.readyState !== WebSocket.OPEN) return;
    if (socket.bufferedAmount > MOST_WAITING_BYTES) {
      // The peer does not read; a message that is left out would be waited for.
      socket.terminate();
      return;
    }
    socket.send(texts.length === 1 ? (texts[0] ?? "") : `[${texts.join(",")}]`);
  }
}
