import type { ConsolaInstance } from "consola";
import { nanoid } from "nanoid";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { rendezvousMember } from "../order/rendezvous.js";
import { MemberState } from "../peer/member-state.js";
import type { Members } from "../peer/members.js";
import type { Row } from "../table/row.js";
import type { Table } from "../table/table.js";
import type { RandomSource } from "../random/random-source.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import { LEDGER_PARTITION, ledgerRowOf } from "./ledger-row.js";
import type { TableBreaker } from "./table-breaker.js";

/** Time in ms for which claims and results are kept. */
export const LEDGER_RETENTION_MS = 86_400_000;
const ROWS_PER_READ = 100;
const DELETIONS_PER_READ = 20;
/**
 * Reads per second by all instances together, hence at most 100 deletions per second, which is a
 * third of the writes that the table accepts; reads are ten times the rows of 50 requests/s.
 */
const READS_PER_SECOND = 5;
const MS_PER_SECOND = 1_000;
const JITTER_SHARE = 0.5;

interface Parts {
  readonly table: Table;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly members: Members;
  readonly configurationView: ConfigurationView;
  readonly tableBreaker: TableBreaker;
  readonly log: ConsolaInstance;
}

/** Deletes ledger rows after their retention; each team's rows are the task of one instance. */
export class LedgerExpiry {
  private subscription: Subscription | undefined;
  private nextTeam = 0;
  private team: string | undefined;
  private cursor = "";

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): LedgerExpiry {
    return new LedgerExpiry(parts);
  }

  start(): void {
    const { timers, random } = this.parts;
    const interval = (this.live().length * MS_PER_SECOND) / READS_PER_SECOND;
    const delay = interval * (1 + JITTER_SHARE * random.fraction());
    this.subscription = timers.after(delay, () => void this.run());
  }

  stop(): void {
    this.subscription?.cancel();
    this.subscription = undefined;
  }

  private async run(): Promise<void> {
    const { tableBreaker, log } = this.parts;
    try {
      if (!tableBreaker.open) await this.deletePage();
    } catch (error) {
      log.warn({ message: "cannot delete expired ledger rows", detail: String(error) });
    }
    if (this.subscription !== undefined) this.start();
  }

  private async deletePage(): Promise<void> {
    this.team ??= this.chooseTeam();
    if (this.team === undefined) return;
    const { table, tableBreaker } = this.parts;
    const partition = `${LEDGER_PARTITION}${this.team}`;
    const rows = await tableBreaker.observe(() =>
      table.query(partition, this.cursor, ROWS_PER_READ),
    );
    const expired = rows.filter((row) => this.expired(row)).slice(0, DELETIONS_PER_READ);
    if (expired.length > 0) {
      // A row that changed since the read fails the whole transaction and is met on the next pass.
      const writes = expired.map(
        ({ key, version }) =>
          ({ kind: "delete", key, expect: { kind: "version", version } }) as const,
      );
      await tableBreaker.observe(() => table.transact(writes, nanoid()));
    }
    const reached = expired.length === DELETIONS_PER_READ ? expired.at(-1) : rows.at(-1);
    this.cursor = reached?.key.sort ?? "";
    if (rows.length < ROWS_PER_READ && reached === rows.at(-1)) this.team = undefined;
  }

  private chooseTeam(): string | undefined {
    const { configurationView, members } = this.parts;
    const live = this.live();
    const teams = configurationView.configuration?.document.teams ?? [];
    const own = teams.filter(({ name }) => rendezvousMember(name, live) === members.self);
    this.cursor = "";
    this.nextTeam += 1;
    return own[this.nextTeam % Math.max(1, own.length)]?.name;
  }

  private live(): string[] {
    const { members } = this.parts;
    const others = members.all().filter((member) => member.state !== MemberState.Dead);
    return [members.self, ...others.map((member) => member.id)];
  }

  /** A row that cannot be read is kept, because its age is not known. */
  private expired(row: Row): boolean {
    try {
      const age = this.parts.timers.wallClock() - ledgerRowOf(row).record.time;
      return age > LEDGER_RETENTION_MS;
    } catch {
      return false;
    }
  }
}
