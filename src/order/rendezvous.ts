import { createHash } from "node:crypto";

/** The member that rendezvous hashing assigns to `key`; undefined if there are no members. */
export function rendezvousMember(key: string, members: readonly string[]): string | undefined {
  let best: string | undefined;
  let highest = "";
  for (const member of members) {
    const score = createHash("sha256")
      .update(JSON.stringify([key, member]))
      .digest("hex");
    if (best === undefined || score > highest) {
      best = member;
      highest = score;
    }
  }
  return best;
}
