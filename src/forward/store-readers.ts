import { rendezvousMember } from "../order/rendezvous.js";

/** Readers of a small fleet: one of them may be cut off from the store. */
const LEAST_READERS = 2;
/** Instances that one reader tells the news; each costs it two calls a second. */
const INSTANCES_PER_READER = 16;

/**
 * The instances that read a table from the store; the others ask them. Answers the load pattern of
 * many instances that poll a store of which every call has a price.
 */
export function storeReaders(table: string, instances: readonly string[]): readonly string[] {
  const count = Math.max(LEAST_READERS, Math.ceil(instances.length / INSTANCES_PER_READER));
  const readers: string[] = [];
  let candidates = [...instances];
  while (readers.length < count) {
    const next = rendezvousMember(table, candidates);
    if (next === undefined) break;
    readers.push(next);
    candidates = candidates.filter((each) => each !== next);
  }
  return readers;
}
