import { rendezvousMembers } from "../order/rendezvous.js";
import { largeInstances, type SizedInstance, withAssumedSizes } from "./instance-size.js";

/** Readers of a small fleet: one of them may be cut off from the store. */
const MIN_READERS = 2;
/** Instances that one reader tells the news; each asks it two times a second for each table. */
const INSTANCES_PER_READER = 16;

/**
 * The instances that read a table from the store; the others ask them. Answers the load pattern of
 * many instances that poll a store of which every call has a price. In a fleet of large and small
 * instances the readers are large ones.
 */
export function storeReaders(
  table: string,
  instances: readonly SizedInstance[],
): readonly string[] {
  const count = Math.max(MIN_READERS, Math.ceil(instances.length / INSTANCES_PER_READER));
  const ids = largeInstances(withAssumedSizes(instances), count).map(({ id }) => id);
  return rendezvousMembers(table, ids, count);
}

/**
 * The order in which an instance turns to the readers. It differs from instance to instance, so that
 * the readers share the questions.
 */
export function readerOrder(self: string, readers: readonly string[]): readonly string[] {
  return rendezvousMembers(self, readers, readers.length);
}
