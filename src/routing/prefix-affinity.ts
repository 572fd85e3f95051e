import { LRUCache } from "lru-cache";
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

const MAX_PREFIX_CHARACTERS = 512;
const MAX_PREFIXES = 4_096;
const MAX_UPSTREAMS_PER_PREFIX = 8;
/** Time after which an engine has probably evicted a prefix that was not used again. */
const CACHE_LIFETIME_MS = 30_000;

interface Placement {
  /** Time of the last dispatch by upstream id. */
  readonly dispatchTimes: Map<string, number>;
  /** Upstream ids in the order of rendezvous hashing, and the set they were computed for. */
  order: { readonly of: readonly string[]; readonly ids: readonly string[] } | undefined;
}

/** Tracks which upstreams probably cache a prompt prefix, and assigns each prefix home upstreams. */
export class PrefixAffinity {
  private readonly placements = new LRUCache<number, Placement>({ max: MAX_PREFIXES });

  private constructor() {
    // Instances come from `create`.
  }

  static create(): PrefixAffinity {
    return new PrefixAffinity();
  }

  /** Key of the prefix of a prompt; undefined if there is nothing to cache. */
  static key(prompt: string): number | undefined {
    return prompt === "" ? undefined : hasher.h32(prompt.slice(0, MAX_PREFIX_CHARACTERS));
  }

  /** The first `count` upstreams of a prefix in hash order; the first one is its home. */
  homes(key: number, ids: readonly string[], count: number): readonly string[] {
    const placement = this.placement(key);
    if (placement.order?.of !== ids) {
      const scored = ids.map((id) => ({ id, hash: hasher.h32(id, key) }));
      scored.sort((a, b) => b.hash - a.hash || (a.id < b.id ? -1 : 1));
      const first = scored.slice(0, MAX_UPSTREAMS_PER_PREFIX).map(({ id }) => id);
      placement.order = { of: ids, ids: first };
    }
    return placement.order.ids.slice(0, count);
  }

  /** Probability in [0, 1] that the upstream has the prefix, from this instance's dispatches. */
  confidence(key: number, id: string, now: number): number {
    const sentAt = this.placements.peek(key)?.dispatchTimes.get(id);
    return sentAt === undefined ? 0 : Math.max(0, 1 - (now - sentAt) / CACHE_LIFETIME_MS);
  }

  recordDispatch(key: number, id: string, now: number): void {
    const { dispatchTimes } = this.placement(key);
    dispatchTimes.delete(id);
    dispatchTimes.set(id, now);
    const [oldest] = dispatchTimes.keys();
    if (dispatchTimes.size > MAX_UPSTREAMS_PER_PREFIX && oldest !== undefined)
      dispatchTimes.delete(oldest);
  }

  private placement(key: number): Placement {
    let placement = this.placements.get(key);
    if (placement === undefined) {
      placement = { dispatchTimes: new Map(), order: undefined };
      this.placements.set(key, placement);
    }
    return placement;
  }
}
