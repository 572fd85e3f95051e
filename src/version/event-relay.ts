import { appendResponse } from "../buffer/append-response.js";
import type { BufferBudget } from "../buffer/buffer-budget.js";
import { ByteBuffer } from "../buffer/byte-buffer.js";
import type { CompleteEvents } from "../forward/event-splitter.js";

/** Bounds the memory of a stream that is held until it is complete. */
const MAX_HELD_BYTES = 4_194_304;

type Send = (events: CompleteEvents) => Promise<void> | undefined;

/** Passes the events of one response on as they arrive, or holds them until they may be. */
export class EventRelay {
  private readonly held: ByteBuffer;
  private heldCount = 0;
  private heldLastId: string | undefined;
  private holds = false;

  private constructor(
    private readonly send: Send,
    private readonly mayPass: Promise<boolean> | undefined,
    budget: BufferBudget,
  ) {
    this.held = ByteBuffer.create(budget, MAX_HELD_BYTES);
  }

  /**
   * `mayPass` resolves with whether events may be passed on before the response is complete;
   * undefined if they may.
   */
  static create(
    send: Send,
    mayPass: Promise<boolean> | undefined,
    budget: BufferBudget,
  ): EventRelay {
    const relay = new EventRelay(send, mayPass, budget);
    if (mayPass === undefined) return relay;
    relay.holds = true;
    void mayPass.then((may) => {
      if (may) relay.release();
    });
    return relay;
  }

  /** Resolves when more can be passed on; throws `UpstreamFailed` if too much is held. */
  push(events: CompleteEvents): Promise<void> | undefined {
    if (!this.holds) return this.send(events);
    appendResponse(this.held, events.bytes);
    this.heldCount += events.count;
    this.heldLastId = events.lastId ?? this.heldLastId;
    return undefined;
  }

  /** Passes on what is held, as the response is complete. */
  complete(): void {
    this.release();
  }

  /** Passes on what is held if it may be, as the response has broken off; drops it otherwise. */
  async breakOff(): Promise<void> {
    await this.mayPass;
    this.clear();
  }

  /** Drops what is held. */
  clear(): void {
    this.holds = false;
    this.held.clear();
    this.heldCount = 0;
  }

  private release(): void {
    const count = this.heldCount;
    const lastId = this.heldLastId;
    const bytes = this.held.take();
    this.clear();
    if (bytes.length > 0) void this.send({ bytes, count, lastId });
  }
}
