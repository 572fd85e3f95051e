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
    const rest = [...items];
    const chosen: Item[] = [];
    while (chosen.length < count && rest.length > 0) {
      chosen.push(...rest.splice(this.below(rest.length), 1));
    }
    return chosen;
  }
}
