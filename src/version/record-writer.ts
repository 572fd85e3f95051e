import type { DecisionLines } from "../forward/decision-lines.js";
import type { ForwardMetrics } from "../forward/forward-metrics.js";
import { StoreTable } from "../forward/store-table.js";
import type { Timers } from "../time/timers.js";
import type { RowStore } from "./row-store.js";
import { MAX_RECORDS, type StreamRecord } from "./stream-record.js";

/** Four collectors write at most a tenth of the calls that a store accepts. */
const MIN_INTERVAL_MS = 100;
/** Longer than any stream, so that the row is of no use any more. */
const ROW_LIFETIME_MS = 120_000;
/** Rows removed by one transaction. */
const MAX_REMOVED = 50;
/** Records that wait for a write; more are declined. */
const MAX_WAITING = 10_000;

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  /** Start time of this process in ms since the epoch. */
  readonly incarnation: number;
  readonly rowStore: Pick<RowStore, "write">;
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
  private readonly rows: { readonly key: string; readonly writtenMs: number }[] = [];
  private sequence = 0;
  private running = false;
  private lastWriteMs = -Infinity;

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
  }

  private async store(records: readonly StreamRecord[]): Promise<boolean> {
    const { timers, self, incarnation, rowStore, decisionLines, forwardMetrics } = this.parts;
    this.sequence += 1;
    const key = `${self} ${incarnation} ${this.sequence}`;
    const expired = this.rows
      .filter(({ writtenMs }) => writtenMs < timers.now() - ROW_LIFETIME_MS)
      .slice(0, MAX_REMOVED);
    try {
      await rowStore.write(
        StoreTable.StreamRecords,
        [[key, JSON.stringify(records)]],
        expired.map((row) => row.key),
      );
      this.rows.splice(0, expired.length);
      this.rows.push({ key, writtenMs: timers.now() });
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
