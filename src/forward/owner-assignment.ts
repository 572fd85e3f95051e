import { rendezvousMembers } from "../order/rendezvous.js";
import type { SizedInstance } from "./instance-size.js";

/** Owners that are tried before an instance runs the stage calls itself. */
export const MAX_OWNERS = 2;

/**
 * Assigns each pool of stage calls to an instance; returns the owners of each pool in the order in
 * which they take over. A few pools carry the work of the whole fleet: by rendezvous hashing
 * alone, one instance would get two or three of them while others get none. No instance
 * gets more than its part by processor cores, rounded up, while the views of the fleet agree.
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
