import { StoreTable } from "../forward/store-table.js";
import type { RowChange } from "../forward/row-feed.js";
import type { Timers } from "../time/timers.js";
import type { RowStore } from "./row-store.js";
import { SharedRead } from "./shared-read.js";
import { type StreamRecord, streamRecordsSchema } from "./stream-record.js";

/** Longer than any stream, so that a row is of no use any more. */
const ROW_LIFETIME_MS = 120_000;

interface Parts {
  readonly timers: Timers;
  readonly rowStore: Pick<RowStore, "readAll" | "readChanges">;
}

interface SeenRow {
  /** Keys of the streams in the row. */
  readonly keys: readonly string[];
  /** Time at which the row was first read, on the monotonic clock in ms. */
  readonly seenMs: number;
}

/** Reads records of streams from the store; one read serves all lookups that wait for it. */
export class RecordReader {
  private readonly byKey = new Map<string, StreamRecord>();
  private readonly rowsSeen = new Map<string, SeenRow>();
  private position: { readonly era: number; readonly version: number } | undefined;
  private readonly rows = SharedRead.create(() => this.readRows());

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): RecordReader {
    return new RecordReader(parts);
  }

  /** The version that is stored for a stream; throws `TableUnavailable`. */
  async find(key: string): Promise<string | undefined> {
    await this.rows.fresh();
    return this.byKey.get(key)?.version;
  }

  /** Rows of streams that have ended, also of instances that are gone; throws `TableUnavailable`. */
  async expiredRows(): Promise<string[]> {
    await this.rows.fresh();
    const oldestMs = this.parts.timers.now() - ROW_LIFETIME_MS;
    return [...this.rowsSeen].flatMap(([row, { seenMs }]) => (seenMs < oldestMs ? [row] : []));
  }

  private async readRows(): Promise<void> {
    const { rowStore } = this.parts;
    const { position } = this;
    if (position !== undefined) {
      const result = await rowStore.readChanges(StoreTable.StreamRecords, position.version, 0);
      if (result.kind === "changes" && result.era === position.era) {
        this.apply(result.changes);
        this.position = result;
        return;
      }
    }
    const snapshot = await rowStore.readAll(StoreTable.StreamRecords);
    const read = new Set(snapshot.rows.map(([row]) => row));
    const absent = [...this.rowsSeen.keys()].filter((row) => !read.has(row));
    this.apply([...absent.map((row): RowChange => [row, undefined]), ...snapshot.rows]);
    this.position = snapshot;
  }

  private apply(changes: readonly RowChange[]): void {
    for (const [row, text] of changes) {
      const known = this.rowsSeen.get(row);
      // Rows are removed long after their streams have ended, and are not changed.
      for (const key of known?.keys ?? []) this.byKey.delete(key);
      this.rowsSeen.delete(row);
      if (text === undefined) continue;
      const records = parseRecords(text);
      for (const record of records) {
        if (record.ordinal >= (this.byKey.get(record.key)?.ordinal ?? 0))
          this.byKey.set(record.key, record);
      }
      const seenMs = known?.seenMs ?? this.parts.timers.now();
      this.rowsSeen.set(row, { keys: records.map(({ key }) => key), seenMs });
    }
  }
}

/** A row that cannot be read holds no records. */
function parseRecords(text: string): readonly StreamRecord[] {
  try {
    return streamRecordsSchema.parse(JSON.parse(text));
  } catch {
    return [];
  }
}
