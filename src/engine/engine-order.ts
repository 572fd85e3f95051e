import xxhash from "xxhash-wasm";
import type { UpstreamEntry } from "../forward/upstream-entry.js";

const hasher = await xxhash();

/** Orders kept; a part that is asked for again within some seconds is still among them. */
const MAX_ORDERS = 512;

interface Orders {
  candidates: readonly UpstreamEntry[];
  /** Positions in `candidates` by prefix, most recently used last. */
  readonly byPrefix: Map<string, Uint16Array>;
}

/** The engines of a service in rendezvous order by prefix; all instances get the same order. */
export class EngineOrder {
  private readonly byService = new Map<string, Orders>();

  private constructor() {
    // Use `create`.
  }

  static create(): EngineOrder {
    return new EngineOrder();
  }

  /** `candidates` must be in the order of their IDs. The first of the order is the home. */
  *of(
    service: string,
    prefix: string,
    candidates: readonly UpstreamEntry[],
  ): Generator<UpstreamEntry, void> {
    for (const position of this.positions(service, prefix, candidates)) {
      const entry = candidates[position];
      if (entry !== undefined) yield entry;
    }
  }

  private positions(
    service: string,
    prefix: string,
    candidates: readonly UpstreamEntry[],
  ): Uint16Array {
    const { byPrefix } = this.ordersOf(service, candidates);
    const known = byPrefix.get(prefix);
    if (known !== undefined) {
      byPrefix.delete(prefix);
      byPrefix.set(prefix, known);
      return known;
    }
    const weights = candidates.map(({ id }) => hasher.h32(`${prefix} ${id}`));
    const order = Uint16Array.from(weights.keys()).sort(
      (a, b) => (weights[b] ?? 0) - (weights[a] ?? 0),
    );
    for (const oldest of byPrefix.keys()) {
      if (byPrefix.size < MAX_ORDERS) break;
      byPrefix.delete(oldest);
    }
    byPrefix.set(prefix, order);
    return order;
  }

  private ordersOf(service: string, candidates: readonly UpstreamEntry[]): Orders {
    let orders = this.byService.get(service);
    if (orders === undefined) {
      orders = { candidates, byPrefix: new Map() };
      this.byService.set(service, orders);
    }
    if (orders.candidates !== candidates) {
      const before = orders.candidates;
      const same =
        before.length === candidates.length &&
        candidates.every(({ id }, at) => id === before[at]?.id);
      if (!same) orders.byPrefix.clear();
      orders.candidates = candidates;
    }
    return orders;
  }
}
