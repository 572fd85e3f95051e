import type { ConsolaInstance } from "consola";
import type { InstanceList } from "../table/instance-list.js";
import type { ListedInstance } from "../table/listed-instance.js";
import type { Timers } from "../time/timers.js";
import { MemberState } from "./member-state.js";
import type { MemberTable } from "./member-table.js";

/** Far above the delay of the list, so that a stale list does not add a forgotten member again. */
const FORGET_DELAY_MS = 3_600_000;

interface Parts {
  readonly timers: Timers;
  readonly log: ConsolaInstance;
  readonly instanceList: InstanceList;
  readonly memberTable: MemberTable;
}

/** Adds listed instances to the members and forgets dead ones that are no longer listed. */
export class InstanceListSync {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): InstanceListSync {
    return new InstanceListSync(parts);
  }

  /** Reads the list once; a list that is empty or cannot be read changes nothing. */
  async sync(): Promise<void> {
    try {
      const listed = await this.parts.instanceList.list();
      if (listed.length > 0) this.apply(listed);
    } catch (error) {
      this.parts.log.warn({ message: "cannot read the instance list", detail: String(error) });
    }
  }

  private apply(listed: readonly ListedInstance[]): void {
    const { memberTable, timers } = this.parts;
    for (const instance of listed) this.addIfUnknown(instance);
    const ids = new Set(listed.map(({ id }) => id));
    for (const { entry, unlistedSinceMs } of memberTable.allRecords()) {
      if (entry.state !== MemberState.Dead || ids.has(entry.id)) {
        memberTable.setUnlistedSince(entry.id, undefined);
      } else if (unlistedSinceMs === undefined) {
        memberTable.setUnlistedSince(entry.id, timers.now());
      } else if (timers.now() - unlistedSinceMs >= FORGET_DELAY_MS) {
        memberTable.forget(entry.id);
      }
    }
  }

  /** Known members are skipped: their heartbeats are newer than the list. */
  private addIfUnknown({ id, peerAddress, dataCentre, state, cores }: ListedInstance): void {
    const { memberTable } = this.parts;
    if (id === memberTable.self || memberTable.record(id) !== undefined) return;
    const listedState = state === "leaving" ? MemberState.Leaving : MemberState.Alive;
    memberTable.merge(
      { id, incarnation: 0, revision: 0, state: listedState, dataCentre, peerAddress, cores },
      false,
    );
  }
}
