import { StoreTable } from "../forward/store-table.js";
import type { RowChange } from "../forward/row-feed.js";
import type { RowStore } from "./row-store.js";
import { SharedRead } from "./shared-read.js";
import { type StreamRecord, streamRecordsSchema } from "./stream-record.js";

interface Parts {
  readonly rowStore: Pick<RowStore, "readAll" | "readChanges">;
}

/** Reads records of streams from the store; one read serves all lookups that wait for it. */
export class RecordReader {
  private readonly byKey = new Map<string, StreamRecord>();
  /** Keys of the streams in each row. */
  private readonly keysByRow = new Map<string, readonly string[]>();
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
    this.byKey.clear();
    this.keysByRow.clear();
    this.apply(snapshot.rows);
    this.position = snapshot;
  }

  private apply(changes: readonly RowChange[]): void {
    for (const [row, text] of changes) {
      // Rows are removed long after their streams have ended, and are not changed.
      for (const key of this.keysByRow.get(row) ?? []) this.byKey.delete(key);
      this.keysByRow.delete(row);
      const records = parseRecords(text);
      if (records.length === 0) continue;
      for (const record of records) {
        if (record.ordinal >= (this.byKey.get(record.key)?.ordinal ?? 0))
          this.byKey.set(record.key, record);
      }
      this.keysByRow.set(
        row,
        records.map(({ key }) => key),
      );
    }
  }
}

/** A row that cannot be read holds no records. */
function parseRecords(text: string | undefined): readonly StreamRecord[] {
  try {
    return streamRecordsSchema.parse(JSON.parse(text ?? "[]"));
  } catch {
    return [];
  }
}
