import type { ConsolaInstance } from "consola";
import type { InstanceList } from "../table/instance-list.js";
import type { ListedInstance } from "../table/listed-instance.js";
import type { Timers } from "../time/timers.js";
import { MemberState } from "./member-state.js";
import type { MemberTable } from "./member-table.js";

/** Far above the lag of the list, so that a stale list does not bring a forgotten member back. */
const FORGET_MS = 3_600_000;

interface Parts {
  readonly timers: Timers;
  readonly log: ConsolaInstance;
  readonly instanceList: InstanceList;
  readonly memberTable: MemberTable;
}

/** Adds listed instances to the members and forgets dead ones that are no longer listed. */
export class ListCorrection {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): ListCorrection {
    return new ListCorrection(parts);
  }

  /** Reads the list once; a list that cannot be read, or is empty, changes nothing. */
  async read(): Promise<void> {
    try {
      const listed = await this.parts.instanceList.list();
      if (listed.length > 0) this.correct(listed);
    } catch (error) {
      this.parts.log.warn({ message: "cannot read the instance list", detail: String(error) });
    }
  }

  private correct(listed: readonly ListedInstance[]): void {
    const { memberTable, timers } = this.parts;
    for (const each of listed) this.add(each);
    const ids = new Set(listed.map(({ id }) => id));
    for (const { entry, unlistedMs } of memberTable.allRecords()) {
      if (entry.state !== MemberState.Dead || ids.has(entry.id)) {
        memberTable.setUnlisted(entry.id, undefined);
      } else if (unlistedMs === undefined) {
        memberTable.setUnlisted(entry.id, timers.now());
      } else if (timers.now() - unlistedMs >= FORGET_MS) {
        memberTable.forget(entry.id);
      }
    }
  }

  /** What heartbeats told of a known member is newer than the list. */
  private add({ id, peerAddress, dataCentre, state, cores }: ListedInstance): void {
    const { memberTable } = this.parts;
    if (id === memberTable.self || memberTable.record(id) !== undefined) return;
    const listedState = state === "leaving" ? MemberState.Leaving : MemberState.Alive;
    memberTable.learn(
      { id, incarnation: 0, revision: 0, state: listedState, dataCentre, peerAddress, cores },
      false,
    );
  }
}
