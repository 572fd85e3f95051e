import type { RowChange, RowChanges, RowSnapshot } from "../../src/forward/row-feed.js";
import { StoreTable } from "../../src/forward/store-table.js";
import type { Timers } from "../../src/time/timers.js";
import type { RowStore, StoredRow } from "../../src/version/row-store.js";

const CALL_MS = 5;
const TIMEOUT_MS = 700;

interface Row {
  readonly text: string | undefined;
  readonly version: number;
}

/** The rows of a store in memory, on a test's clock. */
export class VersionRows implements RowStore {
  /** Whether the store does not answer. */
  away = false;
  writes = 0;
  reads = 0;
  /** Times at which rows of records were written, in ms. */
  readonly recordRowTimesMs: number[] = [];
  private version = 0;
  private readonly rows = new Map<string, Map<string, Row>>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): VersionRows {
    return new VersionRows(timers);
  }

  /** Rows of records that are present. */
  get recordRows(): number {
    const rows = [...this.of(StoreTable.StreamRecords).values()];
    return rows.filter(({ text }) => text !== undefined).length;
  }

  async readAll(table: StoreTable): Promise<RowSnapshot> {
    await this.call();
    this.reads += 1;
    const rows = [...this.of(table)].flatMap(([key, { text }]) =>
      text === undefined ? [] : [[key, text] as const],
    );
    return { rows, era: 1, version: this.version };
  }

  async readChanges(table: StoreTable, version: number): Promise<RowChanges> {
    await this.call();
    this.reads += 1;
    const changes = [...this.of(table)]
      .filter(([, row]) => row.version > version)
      .map(([key, { text }]): RowChange => [key, text]);
    return { kind: "changes", changes, era: 1, version: this.version };
  }

  async read(table: StoreTable, key: string): Promise<StoredRow> {
    await this.call();
    this.reads += 1;
    const row = this.of(table).get(key);
    const present = row?.text === undefined ? { text: undefined, version: 0 } : row;
    return { ...present, era: 1 };
  }

  async put(table: StoreTable, key: string, text: string): Promise<void> {
    await this.write(table, [[key, text]], []);
  }

  async replace(table: StoreTable, key: string, text: string, version: number): Promise<boolean> {
    await this.call();
    this.writes += 1;
    const row = this.of(table).get(key);
    if ((row?.text === undefined ? 0 : row.version) !== version) return false;
    this.set(table, key, text);
    return true;
  }

  async write(
    table: StoreTable,
    rows: readonly (readonly [string, string])[],
    removedKeys: readonly string[],
  ): Promise<void> {
    await this.call();
    this.writes += 1;
    for (const [key, text] of rows) this.set(table, key, text);
    if (table === StoreTable.StreamRecords)
      this.recordRowTimesMs.push(...rows.map(() => this.timers.now()));
    for (const key of removedKeys) this.set(table, key, undefined);
  }

  private set(table: StoreTable, key: string, text: string | undefined): void {
    this.version += 1;
    this.of(table).set(key, { text, version: this.version });
  }

  private of(table: StoreTable): Map<string, Row> {
    const rows = this.rows.get(table) ?? new Map<string, Row>();
    this.rows.set(table, rows);
    return rows;
  }

  private async call(): Promise<void> {
    if (this.away) {
      await this.timers.sleep(TIMEOUT_MS);
      throw new Error("no answer in time");
    }
    await this.timers.sleep(CALL_MS);
  }
}
