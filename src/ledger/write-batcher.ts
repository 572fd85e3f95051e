import { nanoid } from "nanoid";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { type Table, TRANSACTION_WRITES } from "../table/table.js";
import type { TableWrite } from "../table/table-write.js";
import type { Timers } from "../time/timers.js";
import type { TableBreaker } from "./table-breaker.js";

/** Time in ms that the first write of a batch waits for others; small beside a table write. */
const LINGER_MS = 5;
/** Keeps a transaction below the 4 MB that the table service accepts. */
const BATCH_CHARACTERS = 3_000_000;
/** Transactions in flight at once; further writes gather for the next one. */
const IN_FLIGHT = 2;

interface Pending {
  readonly write: TableWrite;
  readonly settle: (committed: boolean) => void;
  readonly fail: (error: ServeError) => void;
}

interface Parts {
  readonly table: Table;
  readonly timers: Timers;
  readonly tableBreaker: TableBreaker;
}

/** Gathers independent conditional writes into transactions. */
export class WriteBatcher {
  private waiting: Pending[] = [];
  private inFlight = 0;
  private lingering = false;

  private constructor(
    private readonly parts: Parts,
    private readonly batchWrites: number,
  ) {}

  /** `batchWrites` is the largest number of writes in one transaction. */
  static create(parts: Parts, batchWrites = TRANSACTION_WRITES): WriteBatcher {
    return new WriteBatcher(parts, batchWrites);
  }

  /**
   * Resolves with whether the expectation of the write held, independently of other writes.
   * Throws `TableUnavailable` (not applied) or `TableUncertain`.
   */
  write(write: TableWrite): Promise<boolean> {
    return new Promise((settle, fail) => {
      this.waiting.push({ write, settle, fail });
      this.linger();
    });
  }

  private linger(): void {
    if (this.lingering || this.inFlight >= IN_FLIGHT || this.waiting.length === 0) return;
    this.lingering = true;
    this.parts.timers.after(LINGER_MS, () => {
      this.lingering = false;
      void this.send(this.take());
    });
  }

  /** A transaction may hold at most one write for each row; the others wait for the next one. */
  private take(): Pending[] {
    const keys = new Set<string>();
    const batch: Pending[] = [];
    const rest: Pending[] = [];
    let characters = 0;
    for (const one of this.waiting) {
      const key = JSON.stringify([one.write.key.partition, one.write.key.sort]);
      const size = one.write.kind === "put" ? one.write.value.length : 0;
      const full = batch.length >= this.batchWrites || characters + size > BATCH_CHARACTERS;
      if ((full && batch.length > 0) || keys.has(key)) {
        rest.push(one);
      } else {
        keys.add(key);
        batch.push(one);
        characters += size;
      }
    }
    this.waiting = rest;
    return batch;
  }

  private async send(batch: readonly Pending[]): Promise<void> {
    this.inFlight += 1;
    // Starts the next batch if this one left writes over and another may be in flight.
    this.linger();
    try {
      await this.commit(batch);
    } finally {
      this.inFlight -= 1;
      this.linger();
    }
  }

  /** Resends a rejected transaction without the writes whose expectation failed. */
  private async commit(batch: readonly Pending[]): Promise<void> {
    const { table, tableBreaker } = this.parts;
    let rest = batch;
    try {
      while (rest.length > 0) {
        const writes = rest.map((one) => one.write);
        const result = await tableBreaker.observe(() => table.transact(writes, nanoid()));
        if (result.kind === "committed") {
          for (const one of rest) one.settle(true);
          return;
        }
        const failed = new Set(result.failed);
        for (const at of failed) rest[at]?.settle(false);
        rest = rest.filter((_, at) => !failed.has(at));
      }
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.TableUncertain);
      for (const one of rest) one.fail(failure);
    }
  }
}
