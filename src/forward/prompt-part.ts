/** A part of a prompt; requests with the same leading parts share cached prefill. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Bounds the work and memory for a prompt that is split into many parts. */
const MAX_SHARED_PARTS = 64;

/**
 * IDs of the first parts that other requests may have too; the last part is the request's own.
 */
export function sharedPartIds(parts: readonly PromptPart[]): string[] {
  return parts
    .slice(0, -1)
    .slice(0, MAX_SHARED_PARTS)
    .map(({ id }) => id);
}
