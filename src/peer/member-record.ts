import { type Member } from "./member.js";
import type { MemberEntry } from "./member-entry.js";
import { MemberState } from "./member-state.js";

/** State of another member as this daemon holds it. */
export interface MemberRecord {
  readonly entry: MemberEntry;
  readonly suspect: boolean;
  /** Time of the last evidence that the member is alive, in ms of the monotonic clock. */
  readonly lastHeardMs: number;
  /** Time since which the dead member is not in the instance list; otherwise undefined. */
  readonly unlistedSinceMs: number | undefined;
}

/** The public view of a record. */
export function toMember({ entry, suspect }: MemberRecord): Member {
  const { id, incarnation, dataCentre, peerAddress, cores, state } = entry;
  const shownState = suspect && state === MemberState.Alive ? MemberState.Suspect : state;
  return { id, incarnation, dataCentre, peerAddress, cores, state: shownState };
}
