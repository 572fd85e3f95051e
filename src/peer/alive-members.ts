import type { Member } from "./member.js";
import { MemberState } from "./member-state.js";
import type { Members } from "./members.js";

/** The other instances that are neither suspect, leaving nor dead. */
export function aliveMembers(members: Pick<Members, "all">): Member[] {
  return members.all().filter(({ state }) => state === MemberState.Alive);
}
