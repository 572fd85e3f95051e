import { z } from "zod";

const TEXT_CHARACTERS = 200_000;
const DEFAULT_TOKENS = 128;
const MOST_TOKENS = 8_192;

/** Schema of what a caller wants a pipeline to work on. */
export const requestInputSchema = z.strictObject({
  text: z.string().max(TEXT_CHARACTERS),
  maxTokens: z.number().int().min(1).max(MOST_TOKENS).default(DEFAULT_TOKENS),
  /** Passed unchanged to plain services. */
  data: z.json().optional(),
});

/** What a caller wants a pipeline to work on. */
export type RequestInput = z.output<typeof requestInputSchema>;
