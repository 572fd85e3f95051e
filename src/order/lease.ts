import { nanoid } from "nanoid";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Table } from "../table/table.js";
import type { Timers } from "../time/timers.js";
import { type LeaseRecord, type LeaseRow, leaseKey, leasePut, leaseRowOf } from "./lease-row.js";

interface Parts {
  readonly table: Table;
  readonly timers: Timers;
  readonly incarnation: number;
}

interface Held {
  readonly row: LeaseRow;
  /** End of the lease on the own monotonic clock. */
  readonly until: number;
}

interface Seen {
  readonly version: number;
  readonly since: number;
}

/**
 * The right of one instance to send orders for a group. The holder counts its time from before the
 * write, an observer from after its read, so two instances hold a lease at the same time only if
 * their clocks run at different speeds. An order that was sent within the lease may still arrive
 * later; an engine that ignores the fencing number then takes it.
 */
export class Lease {
  private held: Held | undefined;
  private seen: Seen | undefined;
  private drops = 0;

  private constructor(
    private readonly parts: Parts,
    private readonly group: string,
    private readonly instance: string,
    private readonly durationMs: number,
  ) {}

  static create(parts: Parts, group: string, instance: string, durationMs: number): Lease {
    return new Lease(parts, group, instance, durationMs);
  }

  /** Remaining time in ms; 0 if the lease is not held. */
  get remainingMs(): number {
    return Math.max(0, (this.held?.until ?? 0) - this.parts.timers.now());
  }

  /** The number for an order sent now. Throws `LeaseLost` unless the lease is held. */
  fencing(): number {
    if (this.held === undefined || this.remainingMs === 0) {
      throw ServeError.create(ErrorKind.LeaseLost, `the lease of ${this.group} is not held`);
    }
    return this.held.row.record.fencing;
  }

  /** Treats the lease as lost, as after a pause of the process. */
  drop(): void {
    this.drops += 1;
    this.held = undefined;
  }

  /**
   * Renews or takes the lease; to be called several times within its duration. Returns whether it
   * is held. Throws `TableUnavailable` or `TableUncertain`; time that remains is not affected.
   */
  async step(): Promise<boolean> {
    const { table, timers } = this.parts;
    if (this.remainingMs > 0 && this.held !== undefined) {
      const { version, record } = this.held.row;
      return this.put(version, { ...record, renewals: record.renewals + 1 });
    }
    this.held = undefined;
    const found = await table.get(leaseKey(this.group));
    if (found === undefined) return this.put(0, this.next(0));
    const row = leaseRowOf(found);
    if (this.seen?.version !== row.version) {
      this.seen = { version: row.version, since: timers.now() };
    }
    // A larger duration than the own one was promised to the present holder.
    const wait = Math.max(row.record.durationMs, this.durationMs);
    if (timers.now() - this.seen.since < wait) return false;
    return this.put(row.version, this.next(row.record.fencing));
  }

  private next(fencing: number): LeaseRecord {
    const { instance: holder, durationMs } = this;
    const { incarnation } = this.parts;
    return { holder, incarnation, fencing: fencing + 1, renewals: 0, durationMs };
  }

  private async put(base: number, record: LeaseRecord): Promise<boolean> {
    const { table, timers } = this.parts;
    const start = timers.now();
    const { drops } = this;
    const result = await table.transact([leasePut(this.group, base, record)], nanoid());
    // A pause during the write dropped the lease, which the answer must not bring back.
    if (this.drops !== drops) return false;
    this.held =
      result.kind === "committed"
        ? { row: { version: base + 1, record }, until: start + this.durationMs }
        : undefined;
    return this.remainingMs > 0;
  }
}
