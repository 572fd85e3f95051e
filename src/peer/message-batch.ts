import { WebSocket } from "ws";

/** Size from which a batch is sent; below the least message size that a peer accepts. */
const BATCH_BYTES = 8_192;
/** Bytes that may wait for a peer that reads slowly; twice the largest message. */
const MOST_WAITING_BYTES = 16_777_216;

/** What a batch needs of a connection. */
type BatchSocket = Pick<WebSocket, "readyState" | "bufferedAmount" | "send" | "terminate">;

interface WaitingMessage {
  readonly text: string;
}

/**
 * Messages to one peer. Those of one turn of the event loop are sent as one JSON-RPC batch, since
 * each write costs a system call here and a wake-up there.
 */
export class MessageBatch {
  private waiting: WaitingMessage[] = [];
  private bytes = 0;
  private flushDue = false;

  private constructor(private readonly socket: BatchSocket) {}

  static create(socket: BatchSocket): MessageBatch {
    return new MessageBatch(socket);
  }

  /** Returns a function that takes the message back if it was not sent yet. */
  add(message: unknown): () => void {
    const text = JSON.stringify(message);
    if (this.bytes + text.length > BATCH_BYTES) this.flush();
    const added: WaitingMessage = { text };
    this.waiting.push(added);
    this.bytes += text.length;
    this.flushSoon();
    return () => {
      if (!this.waiting.includes(added)) return;
      this.waiting = this.waiting.filter((each) => each !== added);
      this.bytes -= text.length;
    };
  }

  /** Sends what waits, unless the connection is not open yet. */
  flush(): void {
    const { socket } = this;
    if (this.waiting.length === 0 || socket.readyState === WebSocket.CONNECTING) return;
    const texts = this.waiting.map(({ text }) => text);
    this.waiting = [];
    this.bytes = 0;
    if (socket.readyState !== WebSocket.OPEN) return;
    if (socket.bufferedAmount > MOST_WAITING_BYTES) {
      // The peer does not read; a message that is left out would be waited for.
      socket.terminate();
      return;
    }
    socket.send(texts.length === 1 ? (texts[0] ?? "") : `[${texts.join(",")}]`);
  }

  private flushSoon(): void {
    if (this.flushDue) return;
    this.flushDue = true;
    setImmediate(() => {
      this.flushDue = false;
      this.flush();
    });
  }
}
