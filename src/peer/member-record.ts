import { type Member } from "./member.js";
import type { MemberEntry } from "./member-entry.js";
import { MemberState } from "./member-state.js";

/** What this daemon holds of another member. */
export interface MemberRecord {
  readonly entry: MemberEntry;
  readonly suspect: boolean;
  /** Time of the last direct sign of life, in ms of the monotonic clock. */
  readonly heardMs: number;
  /** Time since which neither the list nor a heartbeat names it; undefined while one does. */
  readonly unlistedMs: number | undefined;
}

/** The public view of a record. */
export function memberOf({ entry, suspect }: MemberRecord): Member {
  const { id, incarnation, dataCentre, peerAddress, cores, state } = entry;
  const shown = suspect && state === MemberState.Alive ? MemberState.Suspect : state;
  return { id, incarnation, dataCentre, peerAddress, cores, state: shown };
}
