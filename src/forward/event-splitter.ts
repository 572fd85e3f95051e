const ID_FIELD = /^id: ?(.*)$/m;
const EVENT_END = /\r?\n\r?\n/;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Whole events of a stream, as the bytes that came. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** Id of the last of them that has one. */
  readonly lastId: string | undefined;
}

/** Splits a stream into whole events without changing a byte. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  private constructor() {
    // Instances come from `create`.
  }

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Bytes after the last whole event. */
  get remainder(): Buffer {
    return this.pending;
  }

  /** Adds bytes and returns the events that are whole now; undefined if there is none. */
  push(part: Buffer): CompleteEvents | undefined {
    const bytes = this.pending.length === 0 ? part : Buffer.concat([this.pending, part]);
    const end = lastEventEnd(bytes);
    this.pending = bytes.subarray(end);
    if (end === 0) return undefined;
    const whole = bytes.subarray(0, end);
    const events = whole
      .toString("latin1")
      .split(EVENT_END)
      .filter((text) => text !== "");
    return { bytes: whole, count: events.length, lastId: lastIdOf(events) };
  }
}

function lastIdOf(events: readonly string[]): string | undefined {
  for (let at = events.length - 1; at >= 0; at -= 1) {
    const id = ID_FIELD.exec(events[at] ?? "")?.[1];
    if (id !== undefined) return id.trim();
  }
  return undefined;
}

/** Position after the last empty line; 0 if there is none. */
function lastEventEnd(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] !== LINE_FEED) continue;
    const previous = bytes[at - 1];
    if (previous === LINE_FEED) return at + 1;
    if (previous === CARRIAGE_RETURN && at >= 2 && bytes[at - 2] === LINE_FEED) return at + 1;
  }
  return 0;
}
