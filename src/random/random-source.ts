import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const FRACTION_STEPS = 2 ** 31;

/** Seedable random source; the same seed yields the same sequence. */
export class RandomSource {
  private constructor(private readonly generator: RandomGenerator) {}

  static create(seed: number): RandomSource {
    return new RandomSource(xoroshiro128plus(seed));
  }

  /** A number in [0, 1). */
  fraction(): number {
    return uniformInt(this.generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  }

  /** An integer in [0, bound). */
  below(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  /** A sample of the exponential distribution with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.fraction());
  }

  /** Up to `count` distinct items in random order. */
  sample<Item>(items: readonly Item[], count: number): Item[] {
    // Sparse Fisher-Yates shuffle: the work depends on the sample, not on the number of items.
    const moved = new Map<number, Item | undefined>();
    const chosen: Item[] = [];
    for (let left = items.length; left > 0 && chosen.length < count; left--) {
      const at = this.below(left);
      const item = moved.has(at) ? moved.get(at) : items[at];
      if (item !== undefined) chosen.push(item);
      moved.set(at, moved.has(left - 1) ? moved.get(left - 1) : items[left - 1]);
    }
    return chosen;
  }
}
