const ID_FIELD = /^id: ?(.*)$/m;
const EVENT_END = /\r?\n\r?\n/;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Complete events of a stream with their unmodified bytes. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** ID of the last event that has one. */
  readonly lastId: string | undefined;
}

/** Splits a stream into complete events and leaves their bytes unmodified. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  private constructor() {
    // Instances come from `create`.
  }

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.pending;
  }

  /** Adds bytes and returns the events completed by them; undefined if there are none. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const end = lastEventEnd(bytes);
    this.pending = bytes.subarray(end);
    if (end === 0) return undefined;
    const complete = bytes.subarray(0, end);
    const events = complete
      .toString("latin1")
      .split(EVENT_END)
      .filter((text) => text !== "");
    return { bytes: complete, count: events.length, lastId: lastIdOf(events) };
  }
}

function lastIdOf(events: readonly string[]): string | undefined {
  for (let index = events.length - 1; index >= 0; index -= 1) {
    const id = ID_FIELD.exec(events[index] ?? "")?.[1];
    if (id !== undefined) return id.trim();
  }
  return undefined;
}

/** Position after the last empty line; 0 if there is none. */
function lastEventEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    const previous = bytes[index - 1];
    if (previous === LINE_FEED) return index + 1;
    if (previous === CARRIAGE_RETURN && index >= 2 && bytes[index - 2] === LINE_FEED)
      return index + 1;
  }
  return 0;
}
