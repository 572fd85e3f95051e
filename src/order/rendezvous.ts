import { LRUCache } from "lru-cache";
import xxhash from "xxhash-wasm";

const hashes = await xxhash();

/** Names whose hash is remembered; a fleet of hundreds and the services of a deployment. */
const MOST_HASHES = 4_096;

/** Number of different hashes. */
const HASHES = 2 ** 32;

const known = new LRUCache<string, number>({ max: MOST_HASHES });

/**
 * Up to `count` members in the order in which rendezvous hashing assigns them to `key`. Takes one
 * pass over the members, as the owners of stage calls are looked up for each submission. With
 * weights, a member comes first for a part of the keys in proportion to its weight.
 */
export function rendezvousMembers(
  key: string,
  members: readonly string[],
  count: number,
  weightOf?: (member: string) => number,
): readonly string[] {
  const keyHash = hashOf(key);
  const best: { readonly member: string; readonly score: number }[] = [];
  for (const member of members) {
    const hash = mixed(keyHash ^ hashOf(member));
    const score = weightOf === undefined ? hash : weighted(hash, weightOf(member));
    let at = best.length;
    while (at > 0 && isBefore(score, member, best[at - 1])) at -= 1;
    if (at >= count) continue;
    best.splice(at, 0, { member, score });
    if (best.length > count) best.pop();
  }
  return best.map(({ member }) => member);
}

/** The member that rendezvous hashing assigns to `key`; undefined if there are no members. */
export function rendezvousMember(key: string, members: readonly string[]): string | undefined {
  return rendezvousMembers(key, members, 1)[0];
}

/** Logarithmic method of weighted rendezvous hashing; the order of equal weights is that of the hashes. */
function weighted(hash: number, weight: number): number {
  return -weight / Math.log((hash + 0.5) / HASHES);
}

function isBefore(
  score: number,
  member: string,
  other: { readonly member: string; readonly score: number } | undefined,
): boolean {
  if (other === undefined) return false;
  return score === other.score ? member < other.member : score > other.score;
}

function hashOf(name: string): number {
  let hash = known.get(name);
  if (hash === undefined) {
    hash = hashes.h32(name);
    known.set(name, hash);
  }
  return hash;
}

/** The finalizer of MurmurHash3: each bit of the input changes half of the bits of the result. */
function mixed(value: number): number {
  let bits = value;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
