import type { RowChange, RowChanges, RowSnapshot } from "../../src/forward/row-feed.js";
import type { Timers } from "../../src/time/timers.js";

const CALL_TIMEOUT_MS = 700;
const POLL_INTERVAL_MS = 10;

type Rows = ReadonlyMap<string, { text: string | undefined; version: number }>;

/** The operator's table of a simulated store. */
export class OperatorStore {
  private rows = new Map<string, { text: string | undefined; version: number }>();
  private version = 0;
  private era = 1;
  private historyFrom = 0;

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): OperatorStore {
    return new OperatorStore(timers);
  }

  put(key: string, text: string | undefined): void {
    this.version += 1;
    this.rows.set(key, { text, version: this.version });
  }

  copy(): { rows: Rows; version: number } {
    return { rows: new Map(this.rows), version: this.version };
  }

  restore({ rows, version }: { rows: Rows; version: number }): void {
    this.rows = new Map(rows);
    this.version = version;
    this.era += 1;
  }

  forgetHistory(): void {
    this.historyFrom = this.version;
  }

  /** `reachable` tells whether the store answers the instance that reads. */
  async readAll(reachable: () => boolean): Promise<RowSnapshot> {
    await this.answer(reachable, 0);
    const rows = this.since(-1).flatMap(([key, text]) =>
      text === undefined ? [] : [[key, text] as const],
    );
    return { rows, era: this.era, version: this.version };
  }

  async readChanges(reachable: () => boolean, after: number, waitMs: number): Promise<RowChanges> {
    await this.answer(reachable, waitMs);
    const end = this.timers.now() + waitMs;
    while (this.since(after).length === 0 && this.timers.now() < end)
      await this.timers.sleep(POLL_INTERVAL_MS);
    await this.answer(reachable, waitMs);
    if (after < this.historyFrom || after > this.version) return { kind: "forgotten" };
    return { kind: "changes", changes: this.since(after), era: this.era, version: this.version };
  }

  private async answer(reachable: () => boolean, waitMs: number): Promise<void> {
    await this.timers.sleep(1);
    if (reachable()) return;
    await this.timers.sleep(waitMs + CALL_TIMEOUT_MS);
    throw new Error("no answer in time");
  }

  private since(after: number): RowChange[] {
    return [...this.rows]
      .filter(([, { version }]) => version > after)
      .map(([key, { text }]): RowChange => [key, text]);
  }
}
