import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { MemberState } from "../../src/peer/member-state.js";
import type { Member } from "../../src/peer/member.js";
import type { Members } from "../../src/peer/members.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { MemoryTable } from "../../standin/memory-table.js";
import { LedgerInstance } from "./ledger-instance.js";

/** Instances that share a table and reach each other, all on manual timers. */
export class LedgerFleet {
  readonly timers = ManualTimers.create(1_000_000);
  readonly table = MemoryTable.create(this.timers);
  /** Requests that were dispatched, by key. */
  readonly dispatched = new Map<string, string[]>();
  /** Requests that were answered `not-run`. */
  readonly notRun = new Set<string>();
  lastRetryMs: number | undefined;
  private readonly instances = new Map<string, LedgerInstance>();
  private nextIncarnation = 1;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): LedgerFleet {
    return new LedgerFleet();
  }

  /** The running instance; started on first use, and again after it was killed. */
  instance(id: string): LedgerInstance {
    const known = this.instances.get(id);
    return known?.alive === true ? known : this.start(id);
  }

  kill(id: string): void {
    const known = this.instances.get(id);
    if (known !== undefined) known.alive = false;
  }

  dispatch(key: string, request: string): void {
    this.dispatched.set(key, [...(this.dispatched.get(key) ?? []), request]);
  }

  async call(to: string, params: unknown, from: string): Promise<unknown> {
    const known = this.instances.get(to);
    await this.timers.sleep(1);
    if (known?.alive === true) return known.handler(params, from);
    throw ServeError.create(ErrorKind.PeerUnavailable, to);
  }

  membersOf(self: string): Members {
    const memberOf = ({ id, incarnation, alive }: LedgerInstance): Member => ({
      ...{ id, incarnation, dataCentre: "a", peerAddress: "", cores: 1 },
      state: alive ? MemberState.Alive : MemberState.Dead,
    });
    const all = (): Member[] =>
      [...this.instances.values()].filter(({ id }) => id !== self).map(memberOf);
    return {
      self,
      all,
      find: (id) => all().find((member) => member.id === id),
      subscribe: () => ({ cancel: () => undefined }),
    };
  }

  /** Fails if a key was dispatched twice or a request ran that was answered `not-run`. */
  check(): string[] {
    const twice = [...this.dispatched.entries()].flatMap(([key, requests]) =>
      requests.length > 1 ? [`${key} dispatched by ${requests.join(", ")}`] : [],
    );
    const ran = [...this.dispatched.values()].flat().filter((request) => this.notRun.has(request));
    return [...twice, ...ran.map((request) => `${request} was answered not-run and ran`)];
  }

  private start(id: string): LedgerInstance {
    const started = LedgerInstance.create(this, id, this.nextIncarnation++);
    this.instances.set(id, started);
    return started;
  }
}
