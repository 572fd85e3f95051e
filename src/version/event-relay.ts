import type { CompleteEvents } from "../forward/event-splitter.js";

/** Bounds the memory of a stream that is held until it is complete. */
const MAX_HELD_BYTES = 4_194_304;

type Send = (events: CompleteEvents) => Promise<void> | undefined;

/** Passes the events of one response on as they arrive, or holds them until they may be. */
export class EventRelay {
  private held: CompleteEvents[] | undefined;
  private heldBytes = 0;

  private constructor(
    private readonly send: Send,
    private readonly mayPass: Promise<boolean> | undefined,
  ) {}

  /**
   * `mayPass` resolves with whether events may be passed on before the response is complete;
   * undefined if they may.
   */
  static create(send: Send, mayPass: Promise<boolean> | undefined): EventRelay {
    const relay = new EventRelay(send, mayPass);
    if (mayPass === undefined) return relay;
    relay.held = [];
    void mayPass.then((may) => {
      if (may) relay.release();
    });
    return relay;
  }

  /** Resolves when more can be passed on; throws if too much is held. */
  push(events: CompleteEvents): Promise<void> | undefined {
    if (this.held === undefined) return this.send(events);
    this.held.push(events);
    this.heldBytes += events.bytes.length;
    if (this.heldBytes > MAX_HELD_BYTES) throw new Error("a stream that is held exceeds 4 MiB");
    return undefined;
  }

  /** Passes on what is held, as the response is complete. */
  complete(): void {
    this.release();
  }

  /** Passes on what is held if it may be, as the response has broken off; drops it otherwise. */
  async breakOff(): Promise<void> {
    await this.mayPass;
    this.held = undefined;
  }

  private release(): void {
    const held = this.held ?? [];
    this.held = undefined;
    for (const events of held) void this.send(events);
  }
}
