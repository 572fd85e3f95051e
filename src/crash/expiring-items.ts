import { z } from "zod";

const textSchema = z.array(z.looseObject({ expiresAtEpochMs: z.number() }));

/** Something that expires; `expiresMs` is its remaining time in ms. */
interface Expiring {
  readonly expiresMs: number;
}

/** Encodes items for the store, with the times at which they expire. */
export function encodeExpiring(items: readonly Expiring[], nowEpochMs: number): string {
  return JSON.stringify(
    items.map(({ expiresMs, ...item }) => {
      return { ...item, expiresAtEpochMs: nowEpochMs + expiresMs };
    }),
  );
}

/** Decodes a row of items; none if it cannot be parsed, as it is written anew with the next one. */
export function decodeExpiring<Item extends Expiring>(
  schema: z.ZodType<Item>,
  text: string | undefined,
  nowEpochMs: number,
): Item[] {
  try {
    return textSchema
      .parse(JSON.parse(text ?? "[]"))
      .map(({ expiresAtEpochMs, ...item }) =>
        schema.parse({ ...item, expiresMs: expiresAtEpochMs - nowEpochMs }),
      );
  } catch {
    return [];
  }
}
