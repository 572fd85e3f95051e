import xxhash from "xxhash-wasm";

const HASH_RANGE = 2 ** 32;
const hasher = await xxhash();

/** Hashes a text to a number in [0, 1), the same on every instance. */
export function hashFraction(text: string): number {
  return hasher.h32(text) / HASH_RANGE;
}
