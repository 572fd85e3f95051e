import { z } from "zod";
import { requestInputSchema } from "./request-input.js";

/** Schema of the body that a caller posts to a pipeline. */
export const requestBodySchema = z.strictObject({
  class: z.string(),
  deadlineMs: z.number().int().positive(),
  input: requestInputSchema,
  stream: z.boolean().default(true),
});

/** The body that a caller posts to a pipeline. */
export type RequestBody = z.output<typeof requestBodySchema>;
