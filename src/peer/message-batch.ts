import { WebSocket } from "ws";

/** Size above which a batch is sent; below the smallest message limit that a peer may have. */
const FLUSH_THRESHOLD_BYTES = 8_192;
/** Bytes buffered for a peer that reads slowly; twice the largest message. */
const MAX_BUFFERED_BYTES = 16_777_216;

/** The part of a WebSocket that a batch uses. */
type BatchSocket = Pick<WebSocket, "readyState" | "bufferedAmount" | "send" | "terminate">;

interface PendingMessage {
  readonly text: string;
}

/**
 * Outgoing messages of one connection. Those of one turn of the event loop are sent as one JSON-RPC
 * batch, since each write costs a system call at the sender and a wake-up at the receiver.
 */
export class MessageBatch {
  private pending: PendingMessage[] = [];
  private pendingBytes = 0;
  private flushScheduled = false;

  private constructor(private readonly socket: BatchSocket) {}

  static create(socket: BatchSocket): MessageBatch {
    return new MessageBatch(socket);
  }

  /** Queues a message; the returned function withdraws it if it has not been sent yet. */
  add(message: unknown): () => void {
    const text = JSON.stringify(message);
    if (this.pendingBytes + text.length > FLUSH_THRESHOLD_BYTES) this.flush();
    const added: PendingMessage = { text };
    this.pending.push(added);
    this.pendingBytes += text.length;
    this.scheduleFlush();
    return () => {
      if (!this.pending.includes(added)) return;
      this.pending = this.pending.filter((other) => other !== added);
      this.pendingBytes -= text.length;
    };
  }

  /** Sends the pending messages, unless the connection is still being opened. */
  flush(): void {
    const { socket } = this;
    if (this.pending.length === 0 || socket.readyState === WebSocket.CONNECTING) return;
    const texts = this.pending.map(({ text }) => text);
    this.pending = [];
    this.pendingBytes = 0;
    if (socket.readyState !== WebSocket.OPEN) return;
    if (socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      // The peer does not read. Dropping single messages would leave it waiting for them.
      socket.terminate();
      return;
    }
    socket.send(texts.length === 1 ? (texts[0] ?? "") : `[${texts.join(",")}]`);
  }

  private scheduleFlush(): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    setImmediate(() => {
      this.flushScheduled = false;
      this.flush();
    });
  }
}
