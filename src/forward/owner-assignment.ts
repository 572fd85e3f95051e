import { rendezvousMembers } from "../order/rendezvous.js";
import type { SizedInstance } from "./instance-size.js";

/** Owners that are tried before an instance fills the stage calls itself. */
export const MAX_OWNERS = 2;

/**
 * Assigns each pool of stage calls to an instance; returns the owners of each pool in failover
 * order. A few pools carry the work of the whole fleet: with rendezvous hashing alone, one instance
 * would get two or three of them and others none. No instance is the first owner of more pools than
 * its share by processor cores, rounded up, as long as all instances see the same fleet.
 */
export function assignOwners(
  pools: readonly string[],
  candidates: readonly SizedInstance[],
): ReadonlyMap<string, readonly string[]> {
  const cores = new Map(candidates.map((each) => [each.id, each.cores]));
  const ids = candidates.map(({ id }) => id);
  const coresOf = (id: string): number => cores.get(id) ?? 0;
  const total = ids.reduce((sum, id) => sum + coresOf(id), 0);
  const remainingPools = new Map(
    ids.map((id) => [id, Math.ceil((pools.length * coresOf(id)) / total)]),
  );
  const assigned = new Map<string, readonly string[]>();
  for (const pool of [...pools].sort()) {
    // All earlier pools together can fill no more instances than there are pools.
    const order = rendezvousMembers(pool, ids, pools.length + MAX_OWNERS, coresOf);
    const first = order.find((id) => (remainingPools.get(id) ?? 0) > 0) ?? order[0];
    if (first === undefined) continue;
    remainingPools.set(first, (remainingPools.get(first) ?? 0) - 1);
    assigned.set(pool, [first, ...order.filter((id) => id !== first)]);
  }
  return assigned;
}
