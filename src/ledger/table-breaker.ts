import type { ConsolaInstance } from "consola";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { RowKey } from "../table/row-key.js";
import type { Table } from "../table/table.js";
import type { RandomSource } from "../random/random-source.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";

/** Consecutive failures that open the breaker; a single lost answer must not refuse requests. */
const OPENING_FAILURES = 3;
const FIRST_PROBE_MS = 500;
const LONGEST_PROBE_MS = 4_000;
const PROBE_JITTER_SHARE = 0.5;
const PROBE_KEY: RowKey = { partition: "configuration", sort: "head" };

interface Parts {
  readonly table: Table;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly log: ConsolaInstance;
}

/** Knows whether the table answers, and finds out by paced probes when it does again. */
export class TableBreaker {
  private failures = 0;
  private probeDelay = FIRST_PROBE_MS;
  private nextProbe = 0;
  private probe: Subscription | undefined;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): TableBreaker {
    return new TableBreaker(parts);
  }

  get open(): boolean {
    return this.probe !== undefined;
  }

  /** Throws `TableUnavailable` with the time of the next probe while the table is down. */
  check(): void {
    if (!this.open) return;
    const retryAfterMs = Math.max(FIRST_PROBE_MS, this.nextProbe - this.parts.timers.now());
    throw ServeError.create(ErrorKind.TableUnavailable, "the table service does not answer", {
      retryAfterMs,
    });
  }

  /** Runs a table operation and counts its result. */
  async observe<Result>(operation: () => Promise<Result>): Promise<Result> {
    try {
      const result = await operation();
      this.close();
      return result;
    } catch (error) {
      this.fail();
      throw error;
    }
  }

  stop(): void {
    this.probe?.cancel();
  }

  private fail(): void {
    this.failures += 1;
    if (this.open || this.failures < OPENING_FAILURES) return;
    this.parts.log.warn({ message: "table unavailable; refusing non-idempotent requests" });
    this.schedule();
  }

  private close(): void {
    this.failures = 0;
    if (this.probe === undefined) return;
    this.probe.cancel();
    this.probe = undefined;
    this.probeDelay = FIRST_PROBE_MS;
    this.parts.log.info({ message: "table available; accepting non-idempotent requests" });
  }

  private schedule(): void {
    const { timers, random } = this.parts;
    const delay = this.probeDelay * (1 + PROBE_JITTER_SHARE * random.fraction());
    this.probeDelay = Math.min(LONGEST_PROBE_MS, 2 * this.probeDelay);
    this.nextProbe = timers.now() + delay;
    this.probe = timers.after(delay, () => void this.sendProbe());
  }

  private async sendProbe(): Promise<void> {
    try {
      await this.parts.table.get(PROBE_KEY);
      this.close();
    } catch {
      if (this.open) this.schedule();
    }
  }
}
