import { ErrorKind } from "../src/error/error-kind.js";
import { ServeError } from "../src/error/serve-error.js";
import type { Expectation } from "../src/table/expectation.js";
import type { Row } from "../src/table/row.js";
import type { RowKey } from "../src/table/row-key.js";
import type { Table } from "../src/table/table.js";
import type { TableWrite } from "../src/table/table-write.js";
import type { TransactionResult } from "../src/table/transaction-result.js";
import type { Timers } from "../src/time/timers.js";
import { type TableFaults, noTableFaults } from "./table-faults.js";
import { type TableItem, TableStore, type TransactItem } from "./table-store.js";

const REQUEST_TIMEOUT_MS = 1_000;
const WINDOW_MS = 1_000;

/** The store of the stand-in table within a test, on the test's timers. */
export class MemoryTable implements Table {
  /** Faults of all coming requests. */
  faults: TableFaults = noTableFaults;
  /** Transactions that were received. */
  transactions = 0;
  private readonly scripted: Partial<TableFaults>[] = [];
  private window = -1;
  private windowWrites = 0;

  private constructor(
    private readonly timers: Timers,
    private readonly store: TableStore,
  ) {}

  static create(timers: Timers): MemoryTable {
    return new MemoryTable(timers, TableStore.create());
  }

  /** Adds faults of one coming transaction each, on top of `faults`. */
  script(...faults: readonly Partial<TableFaults>[]): void {
    this.scripted.push(...faults);
  }

  async get(key: RowKey): Promise<Row | undefined> {
    await this.read();
    const item = this.store.get(attributesOf(key));
    return item === undefined ? undefined : rowOf(item);
  }

  async query(partition: string, after: string, limit: number): Promise<Row[]> {
    await this.read();
    return this.store.query(partition, after, limit).map(rowOf);
  }

  async transact(writes: readonly TableWrite[], token: string): Promise<TransactionResult> {
    const faults = { ...this.faults, ...this.scripted.shift() };
    this.transactions += 1;
    if (faults.down) throw ServeError.create(ErrorKind.TableUnavailable, "down");
    if (!this.withinRate(writes.length, faults)) {
      throw ServeError.create(ErrorKind.TableUnavailable, "throttled");
    }
    if (faults.frozen) return this.timeOut(REQUEST_TIMEOUT_MS);
    const items = writes.map(itemOf);
    if (faults.effectDelayMs >= REQUEST_TIMEOUT_MS) {
      this.timers.after(faults.effectDelayMs, () => this.store.transact(items, token));
      return this.timeOut(REQUEST_TIMEOUT_MS);
    }
    await this.timers.sleep(faults.effectDelayMs);
    const codes = this.store.transact(items, token);
    if (faults.loseAnswers > 0) return this.timeOut(0);
    if (faults.delayMs >= REQUEST_TIMEOUT_MS) return this.timeOut(REQUEST_TIMEOUT_MS);
    await this.timers.sleep(faults.delayMs);
    if (codes === undefined) return { kind: "committed" };
    const failed = codes.flatMap((code, at) => (code === "ConditionalCheckFailed" ? [at] : []));
    return { kind: "rejected", failed };
  }

  private async read(): Promise<void> {
    const { down, frozen, delayMs } = this.faults;
    if (down) throw ServeError.create(ErrorKind.TableUnavailable, "down");
    const late = frozen || delayMs >= REQUEST_TIMEOUT_MS;
    await this.timers.sleep(late ? REQUEST_TIMEOUT_MS : delayMs);
    if (late) throw ServeError.create(ErrorKind.TableUnavailable, "timeout");
  }

  private async timeOut(afterMs: number): Promise<never> {
    await this.timers.sleep(afterMs);
    throw ServeError.create(ErrorKind.TableUncertain, "the answer was lost");
  }

  private withinRate(writes: number, faults: TableFaults): boolean {
    const window = Math.floor(this.timers.now() / WINDOW_MS);
    if (window !== this.window) this.windowWrites = 0;
    this.window = window;
    this.windowWrites += faults.countTransactions ? 1 : writes;
    return this.windowWrites <= faults.writesPerSecond;
  }
}

function itemOf(write: TableWrite): TransactItem {
  const condition = conditionOf(write.expect);
  const key = attributesOf(write.key);
  switch (write.kind) {
    case "put": {
      const version = { N: String(write.version) };
      return { Put: { Item: { ...key, version, value: { S: write.value } }, ...condition } };
    }
    case "check":
      return { ConditionCheck: { Key: key, ...condition } };
    case "delete":
      return { Delete: { Key: key, ...condition } };
  }
}

function conditionOf(expect: Expectation): object {
  switch (expect.kind) {
    case "any":
      return {};
    case "absent":
      return { ConditionExpression: "attribute_not_exists(pk)" };
    case "version":
      return {
        ConditionExpression: "#version = :version",
        ExpressionAttributeValues: { ":version": { N: String(expect.version) } },
      };
  }
}

function attributesOf(key: RowKey): Pick<TableItem, "pk" | "sk"> {
  return { pk: { S: key.partition }, sk: { S: key.sort } };
}

function rowOf({ pk, sk, version, value }: TableItem): Row {
  return {
    key: { partition: pk.S, sort: sk.S },
    version: Number(version.N),
    value: value.S,
  };
}
