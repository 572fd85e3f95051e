import type { Division } from "../../src/peer/division.js";
import { ringDivision } from "../../src/peer/ring-division.js";
import type { RandomSource } from "../../src/random/random-source.js";

const GOSSIP_FAN_OUT = 4;

/** The sender calls every member. */
const fullMesh: Division = (members) =>
  members.map((member) => ({ candidates: [member], until: undefined }));

/** Each receiver calls some random members of the whole ring. */
function gossip(random: RandomSource): Division {
  return (members) =>
    random
      .sample(members, GOSSIP_FAN_OUT)
      .map((member) => ({ candidates: [member], until: member }));
}

/** The measured ways to spread an update, by name. */
export const divisions: Readonly<Record<string, (random: RandomSource) => Division>> = {
  ring: () => ringDivision,
  mesh: () => fullMesh,
  gossip,
};
