import { createHash } from "node:crypto";
import { LRUCache } from "lru-cache";

const POSITION_DIGITS = 16;
/** Each broadcast looks up the same ids; hashing them each time would dominate its cost. */
const positionCache = new LRUCache<string, string>({ max: 8_192 });

/** Position of an instance on the ring; the same on all instances. */
export function ringPosition(id: string): string {
  const known = positionCache.get(id);
  if (known !== undefined) return known;
  const position = createHash("sha256").update(id).digest("hex").slice(0, POSITION_DIGITS);
  positionCache.set(id, position);
  return position;
}

/** Instances in the order of their hashed ids, which distributes each data centre over the ring. */
export class Ring {
  private constructor(
    private readonly ids: readonly string[],
    private readonly positions: readonly string[],
  ) {}

  static create(ids: Iterable<string>): Ring {
    const entries = [...ids].map((id) => ({ id, position: ringPosition(id) }));
    entries.sort((a, b) => (a.position < b.position ? -1 : 1));
    return new Ring(
      entries.map(({ id }) => id),
      entries.map(({ position }) => position),
    );
  }

  /** The ring with one more instance; it avoids sorting all instances at each change of a member. */
  including(id: string): Ring {
    const position = ringPosition(id);
    const index = this.lowerBound(position);
    if (this.positions[index] === position) return this;
    return new Ring(this.ids.toSpliced(index, 0, id), this.positions.toSpliced(index, 0, position));
  }

  excluding(id: string): Ring {
    const position = ringPosition(id);
    const index = this.lowerBound(position);
    if (this.positions[index] !== position) return this;
    return new Ring(this.ids.toSpliced(index, 1), this.positions.toSpliced(index, 1));
  }

  get size(): number {
    return this.ids.length;
  }

  /** The `count` instances that follow `id`. */
  successors(id: string, count: number): string[] {
    return this.between(id, id).slice(0, count);
  }

  /** Instances after `from` and before `until` in ring order; the whole ring if they are equal. */
  between(from: string, until: string): string[] {
    const [start, end] = [ringPosition(from), ringPosition(until)];
    const index = this.lowerBound(start);
    const first = this.positions[index] === start ? index + 1 : index;
    const last = this.lowerBound(end);
    if (start < end) return this.ids.slice(first, last);
    return [...this.ids.slice(first), ...this.ids.slice(0, last)];
  }

  /** Index of the first position that is not below `position`. */
  private lowerBound(position: string): number {
    let [low, high] = [0, this.positions.length];
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.positions[middle] ?? "") < position) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
