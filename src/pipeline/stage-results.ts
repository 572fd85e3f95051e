import { z } from "zod";

/** Schema of the answer of `/v1/embeddings`. */
export const embeddingsSchema = z.object({
  data: z.array(z.object({ embedding: z.array(z.number()) })).min(1),
});

/** Schema of the answer of `/search`. */
export const documentsSchema = z.object({
  documents: z.array(z.object({ id: z.string(), text: z.string() })),
});

/** Schema of the answer of `/v1/rerank`. */
export const rankingSchema = z.object({
  results: z.array(
    z.object({ index: z.number().int().nonnegative(), relevance_score: z.number() }),
  ),
});

/** What the stages of a request have produced so far. */
export interface StageResults {
  readonly embedding?: readonly number[];
  readonly documents?: readonly { readonly id: string; readonly text: string }[];
  /** Answer of the last plain service. */
  readonly answer?: unknown;
}
