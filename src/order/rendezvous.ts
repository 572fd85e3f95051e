import { createHash } from "node:crypto";

/** Up to `count` members in the order in which rendezvous hashing assigns them to `key`. */
export function rendezvousMembers(
  key: string,
  members: readonly string[],
  count: number,
): readonly string[] {
  return members
    .map((member) => ({ member, score: score(key, member) }))
    .sort((a, b) => (a.score < b.score ? 1 : -1))
    .slice(0, count)
    .map(({ member }) => member);
}

/** The member that rendezvous hashing assigns to `key`; undefined if there are no members. */
export function rendezvousMember(key: string, members: readonly string[]): string | undefined {
  return rendezvousMembers(key, members, 1)[0];
}

function score(key: string, member: string): string {
  return createHash("sha256")
    .update(JSON.stringify([key, member]))
    .digest("hex");
}
