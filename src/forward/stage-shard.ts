import xxhash from "xxhash-wasm";

/** Upstreams per shard; the owner of a shard makes about 30 calls a second to them. */
const UPSTREAMS_PER_SHARD = 8;
const hashes = await xxhash();

/** Shard that serves a request, of a service with `upstreams` upstreams. */
export function shardOf(attemptId: string, upstreams: number): number {
  return hashes.h32(attemptId) % shardCount(upstreams);
}

/** The upstreams of one shard, from all upstreams of the service ordered by id. */
export function shardUpstreams<Item>(all: readonly Item[], shard: number): Item[] {
  const count = shardCount(all.length);
  return all.filter((_, index) => index % count === shard % count);
}

/** Number of shards of a service with `upstreams` upstreams. */
export function shardCount(upstreams: number): number {
  return Math.max(1, Math.ceil(upstreams / UPSTREAMS_PER_SHARD));
}
