import { z } from "zod";

const MAX_TEXT_CHARACTERS = 200_000;
const DEFAULT_MAX_TOKENS = 128;
const MAX_TOKENS = 8_192;

/** Schema of what a caller wants a pipeline to work on. */
export const requestInputSchema = z.strictObject({
  text: z.string().max(MAX_TEXT_CHARACTERS),
  maxTokens: z.number().int().min(1).max(MAX_TOKENS).default(DEFAULT_MAX_TOKENS),
  /** Passed unchanged to plain services. */
  data: z.json().optional(),
});

/** What a caller wants a pipeline to work on. */
export type RequestInput = z.output<typeof requestInputSchema>;
