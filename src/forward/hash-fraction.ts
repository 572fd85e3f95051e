import xxhash from "xxhash-wasm";

const HASH_RANGE = 2 ** 32;
const hashes = await xxhash();

/** A number in [0, 1) that is the same for a text on every instance. */
export function hashFraction(text: string): number {
  return hashes.h32(text) / HASH_RANGE;
}
