import type { Partitioner } from "../../src/peer/partitioner.js";
import { partitionRange } from "../../src/peer/partition-range.js";
import type { RandomSource } from "../../src/random/random-source.js";

const GOSSIP_FAN_OUT = 4;

/** The sender calls every member. */
const fullMesh: Partitioner = (members) =>
  members.map((member) => ({ candidates: [member], until: undefined }));

/** Each receiver calls some random members of the whole ring. */
function gossip(random: RandomSource): Partitioner {
  return (members) =>
    random
      .sample(members, GOSSIP_FAN_OUT)
      .map((member) => ({ candidates: [member], until: member }));
}

/** The measured ways to spread an update, by name. */
export const divisions: Readonly<Record<string, (random: RandomSource) => Partitioner>> = {
  ring: () => partitionRange,
  mesh: () => fullMesh,
  gossip,
};
