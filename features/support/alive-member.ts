import type { Member } from "../../src/peer/member.js";
import { MemberState } from "../../src/peer/member-state.js";

/** A member that is alive. */
export function aliveMemberOf(id: string): Member {
  const fixed = { incarnation: 1, dataCentre: "a", cores: 1 };
  return { id, peerAddress: `http://${id}`, state: MemberState.Alive, ...fixed };
}
