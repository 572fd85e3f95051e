import { rendezvousMembers } from "../order/rendezvous.js";
import { largeInstances, type SizedInstance, withAssumedSizes } from "./instance-size.js";

/** More than one, since a reader may be unable to reach the store. */
const MIN_READERS = 2;
/** Instances served by one reader; each queries it twice per second for each table. */
const INSTANCES_PER_READER = 16;

/**
 * The instances that read a table from the store, so that not every instance polls a store that
 * charges for each call; the others query them. In a fleet of mixed sizes the readers are large
 * instances.
 */
export function storeReaders(
  table: string,
  instances: readonly SizedInstance[],
): readonly string[] {
  const count = Math.max(MIN_READERS, Math.ceil(instances.length / INSTANCES_PER_READER));
  const ids = largeInstances(withAssumedSizes(instances), count).map(({ id }) => id);
  return rendezvousMembers(table, ids, count);
}

/** The reader that an instance queries; undefined if it is one itself, or all are avoided. */
export function chooseReader(
  table: string,
  self: string,
  instances: readonly SizedInstance[],
  avoided: { has(id: string): boolean },
): string | undefined {
  const readers = storeReaders(table, instances);
  if (readers.includes(self)) return undefined;
  return readerOrder(self, readers).find((id) => !avoided.has(id));
}

/**
 * The order in which an instance tries the readers. It differs between instances, which spreads the
 * queries over the readers.
 */
export function readerOrder(self: string, readers: readonly string[]): readonly string[] {
  return rendezvousMembers(self, readers, readers.length);
}
