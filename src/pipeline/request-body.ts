import { z } from "zod";
import { requestInputSchema } from "./request-input.js";

/** Schema of the body that a caller posts to a pipeline. */
export const requestBodySchema = z.strictObject({
  class: z.string(),
  deadlineMs: z.number().int().positive(),
  input: requestInputSchema,
  stream: z.boolean().default(true),
  /**
   * True if an earlier request with the same idempotency key had no final answer. The ledger is
   * then asked first, and `not-run` is said only if it shows that no request with the key ran.
   */
  resend: z.boolean().default(false),
});

/** The body that a caller posts to a pipeline. */
export type RequestBody = z.output<typeof requestBodySchema>;
