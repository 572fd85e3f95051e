import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** Identifies a stream in records: a digest of the service and the attempt that began it. */
export function streamKey(service: string, attemptId: string): string {
  return hasher.h64ToString(`${service} ${attemptId}`);
}
