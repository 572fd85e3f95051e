import { createHash } from "node:crypto";

const POSITION_DIGITS = 16;

/** Position of an instance on the ring; the same on all instances. */
export function ringPosition(id: string): string {
  return createHash("sha256").update(id).digest("hex").slice(0, POSITION_DIGITS);
}

/** Instances in the order of their hashed ids, which spreads each data centre over the ring. */
export class Ring {
  private constructor(
    private readonly ids: readonly string[],
    private readonly positions: readonly string[],
  ) {}

  static create(ids: Iterable<string>): Ring {
    const places = [...ids].map((id) => ({ id, position: ringPosition(id) }));
    places.sort((a, b) => (a.position < b.position ? -1 : 1));
    return new Ring(
      places.map(({ id }) => id),
      places.map(({ position }) => position),
    );
  }

  /** The `count` instances that follow `id`. */
  successors(id: string, count: number): string[] {
    return this.between(id, id).slice(0, count);
  }

  /** Instances after `from` and before `until` in ring order; the whole ring if they are equal. */
  between(from: string, until: string): string[] {
    const [start, end] = [ringPosition(from), ringPosition(until)];
    const first = this.firstAt((position) => position > start);
    const last = this.firstAt((position) => position >= end);
    if (start < end) return this.ids.slice(first, last);
    return [...this.ids.slice(first), ...this.ids.slice(0, last)];
  }

  private firstAt(matches: (position: string) => boolean): number {
    const at = this.positions.findIndex(matches);
    return at < 0 ? this.positions.length : at;
  }
}
