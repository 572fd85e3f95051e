import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { Outcome } from "../error/outcome.js";

const problem = z.object({
  type: z.string(),
  title: z.string(),
  status: z.number().int(),
  detail: z.string(),
  kind: z.enum(ErrorKind),
  outcome: z.enum(Outcome),
  retryAfter: z.number().int().positive().exactOptional(),
});

/** Schema of one event of an answer. */
export const answerEventSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("token"), text: z.string() }),
  /** The answer of a pipeline that ends with a plain service. */
  z.object({ kind: z.literal("result"), body: z.unknown() }),
  /** The answer is whole: its length in bytes and its SHA-256 in hex. */
  z.object({ kind: z.literal("end"), length: z.number().int(), digest: z.string() }),
  z.object({ kind: z.literal("error"), problem }),
]);

/** One event of an answer. */
export type AnswerEvent = z.output<typeof answerEventSchema>;
