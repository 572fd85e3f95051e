import type { DecisionLines } from "../forward/decision-lines.js";
import type { ForwardMetrics } from "../forward/forward-metrics.js";
import { StoreTable } from "../forward/store-table.js";
import type { Timers } from "../time/timers.js";
import type { RecordReader } from "./record-reader.js";
import type { RowStore } from "./row-store.js";
import { MAX_RECORDS, type StreamRecord } from "./stream-record.js";

/** Four collectors write at most a tenth of the calls that a store accepts. */
const MIN_INTERVAL_MS = 100;
/** Rows removed by one transaction. */
const MAX_REMOVED = 100;
/** Least time between two clean-ups, which follow writes. */
const CLEAN_UP_INTERVAL_MS = 120_000;
/** Records that wait for a write; more are declined. */
const MAX_WAITING = 10_000;

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  /** Start time of this process in ms since the epoch. */
  readonly incarnation: number;
  readonly rowStore: Pick<RowStore, "write">;
  readonly recordReader: Pick<RecordReader, "expiredRows">;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: Pick<ForwardMetrics, "recordStreamRecords">;
}

interface Waiting {
  readonly record: StreamRecord;
  readonly resolve: (stored: boolean) => void;
}

/** Writes records of streams to the store, many in one transaction. */
export class RecordWriter {
  private waiting: Waiting[] = [];
  private sequence = 0;
  private running = false;
  private lastWriteMs = -Infinity;
  private lastCleanUpMs = -Infinity;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): RecordWriter {
    return new RecordWriter(parts);
  }

  /** Resolves with whether all records are stored. Never rejects. */
  async write(records: readonly StreamRecord[]): Promise<boolean> {
    if (this.waiting.length + records.length > MAX_WAITING) return false;
    const stored = records.map(
      (record) =>
        new Promise<boolean>((resolve) => {
          this.waiting.push({ record, resolve });
        }),
    );
    void this.run();
    return (await Promise.all(stored)).every((each) => each);
  }

  private async run(): Promise<void> {
    if (this.running) return;
    this.running = true;
    const { timers } = this.parts;
    while (this.waiting.length > 0) {
      const pauseMs = this.lastWriteMs + MIN_INTERVAL_MS - timers.now();
      if (pauseMs > 0) await timers.sleep(pauseMs);
      this.lastWriteMs = timers.now();
      const batch = this.waiting.splice(0, MAX_RECORDS);
      const stored = await this.store(batch.map(({ record }) => record));
      for (const { resolve } of batch) resolve(stored);
    }
    this.running = false;
    if (timers.now() - this.lastCleanUpMs < CLEAN_UP_INTERVAL_MS) return;
    this.lastCleanUpMs = timers.now();
    await this.cleanUp();
  }

  /** Removes rows of streams that have ended, as nothing in the store expires by itself. */
  private async cleanUp(): Promise<void> {
    const { rowStore, recordReader, decisionLines } = this.parts;
    try {
      const expired = await recordReader.expiredRows();
      while (expired.length > 0)
        await rowStore.write(StoreTable.StreamRecords, [], expired.splice(0, MAX_REMOVED));
    } catch (error) {
      decisionLines.write("records of streams not removed", { detail: String(error) });
    }
  }

  private async store(records: readonly StreamRecord[]): Promise<boolean> {
    const { self, incarnation, rowStore, decisionLines, forwardMetrics } = this.parts;
    this.sequence += 1;
    const key = `${self} ${incarnation} ${this.sequence}`;
    try {
      await rowStore.write(StoreTable.StreamRecords, [[key, JSON.stringify(records)]], []);
      forwardMetrics.recordStreamRecords(records.length);
      return true;
    } catch (error) {
      decisionLines.write("streams not recorded", {
        records: records.length,
        detail: String(error),
      });
      return false;
    }
  }
}
